// Package sessioner serves callers' sessions: one goroutine for each connection,
// from its start to its end.
//
// A session names a database at its start, which selects a route. The session
// keeps settings and prepared statements and answers statements about them itself;
// a dispatcher runs all others with that session state on backend servers. After a
// transaction has failed, only its commit or rollback is accepted.
//
// A session remembers the log position of its last commit as the minimum position
// of its later reads: a backend server must cover it, so that a session reads its own
// writes on routes that ask for that.
//
// A [Server] stops in two steps: [Server.Drain] closes idle sessions over a while,
// and [Server.Stop] ends the rest.
package sessioner
