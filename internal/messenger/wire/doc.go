// Package wire holds the messages and services between entry instances. It is
// generated from wire.proto by protoc-gen-go and protoc-gen-go-drpc.
package wire
