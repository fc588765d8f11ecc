// Package framer reads the messages of the PostgreSQL protocol from a connection within the
// memory budget of the process.
//
// A [Reader] follows the boundaries of messages in the bytes that it passes on, and asks for
// memory when it has seen the length of a message, before its reader can allocate that much.
// [Inbound] accounts for the batches of a caller, [Answers] for the answers of a server.
package framer
