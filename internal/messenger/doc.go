// Package messenger carries the messages between entry instances over drpc.
//
// The services are defined in wire/wire.proto. Every request and response
// carries the sender's Lamport time in a Header.
package messenger

//go:generate protoc -I wire --go_out=wire --go_opt=paths=source_relative --go-drpc_out=wire --go-drpc_opt=paths=source_relative wire/wire.proto
