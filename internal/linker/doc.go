// Package linker pools an instance's connections to one backend server.
//
// A [Conn] is a connection together with the session state that the server holds
// for it: session values and prepared statements. It carries one caller's work at
// a time: a statement, or a transaction from its first statement to its end.
// Before a caller's statement it sends the statements that bring the server's
// session state to the caller's [Context], in the same exchange.
//
// A server is told in the handshake who connects, and a connection stays with this user
// for its life. The user is the team whose statements run on the connection, or empty for
// the instance itself. A caller's statement runs only on a connection of its team; a
// statement that the instance itself issues runs on any.
//
// A [Pool] opens connections up to this instance's share of the server's
// connection limit, keeps idle ones open and hands them out by priority. A
// connection that is broken or has a transaction open at its release is closed,
// so a caller never gets the state or the transaction of another one.
//
// When a user needs a connection and none of its own is idle, the pool opens one. From a
// preferred number of connections on it closes an idle one of another user for it: the one
// that is expected to stay idle for longest. At the limit with none idle, the request
// waits. A released connection goes to the most urgent request of its user unless a more
// urgent one of another user has been passed over too often; then it is closed, and one of
// the other user is opened in its place.
package linker
