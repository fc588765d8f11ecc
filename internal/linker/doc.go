// Package linker pools an instance's connections to one backend server.
//
// A [Conn] is a connection together with the session state that the server holds
// for it: session values and prepared statements. It carries one caller's work at
// a time: a statement, or a transaction from its first statement to its end.
// Before a caller's statement it sends the statements that bring the server's
// session state to the caller's [Context], in the same exchange.
//
// A [Pool] opens connections up to this instance's share of the server's
// connection limit, keeps idle ones open and hands them out by priority. A
// connection that is broken or has a transaction open at its release is closed,
// so a caller never gets the state or the transaction of another one.
package linker
