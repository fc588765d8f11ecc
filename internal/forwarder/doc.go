// Package forwarder carries statements from one entry instance to another that
// holds connections to the backend server, a gateway.
//
// A [Request] names the server and holds everything that its connection needs:
// session values, the prepared statement, the statements. The gateway answers
// with a [Reply]: the server's answers, or the [Failure] that kept them from
// running. A request of a transaction has the transaction's id; its connection
// stays reserved under that id until the transaction ends.
//
// [ErrNotSent] means that the gateway did not get the request. After any other
// error the statements may have run.
package forwarder
