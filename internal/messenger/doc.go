// Package messenger carries remote calls between entry instances over drpc,
// optionally with mutual TLS.
//
// [Server] accepts connections and serves the services of wire/wire.proto.
// [Pool] is the client side: it keeps connections per address and gives each
// call a connection of its own. A call is never repeated by this package,
// because the receiver may have run it; an error that wraps [ErrNotConnected]
// means that the receiver got nothing of the call.
//
// All messages except those of the calls Permit and Forward carry a wire.Header
// with the sender's name and Lamport time; see [Stamper].
package messenger

//go:generate protoc -I wire --go_out=wire --go_opt=paths=source_relative --go-drpc_out=wire --go-drpc_opt=paths=source_relative wire/wire.proto
