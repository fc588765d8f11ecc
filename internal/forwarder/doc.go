// Package forwarder carries statements from one entry instance to a gateway: an
// instance that holds connections to the backend server and runs the statements
// of other instances on them.
//
// A [Request] names the server and holds everything that its connection needs:
// session values, the prepared statement and the statements. The gateway answers
// with a [Reply]: the server's answers, or the [Failure] that kept the statements
// from running. A request that belongs to a transaction carries the transaction's
// id; the gateway pins a server connection under that id until the transaction
// ends.
//
// [ErrNotSent] means that the gateway did not get the request. After any other
// error, and after the failure [Lost], the statements may have run.
package forwarder
