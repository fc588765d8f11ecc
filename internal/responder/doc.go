// Package responder sends the answers of one session to its caller.
//
// An [Output] buffers the messages of an answer, so that an answer that is not final can be
// dropped ([Output.Drop]) and replaced. Its memory is reserved from the budget of the caller's
// connection.
//
// Invariants:
//
//   - Nothing reaches the caller but by [Output.Flush].
//   - A caller has [Config.WriteWait] to accept each piece of an answer. It has less while its
//     session holds a server connection for which other sessions have waited too long: its
//     connection is closed then, so that it keeps nobody out.
package responder
