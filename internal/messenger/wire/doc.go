// Package wire holds the messages and services between entry instances,
// generated from wire.proto by protoc-gen-go and protoc-gen-go-drpc.
package wire
