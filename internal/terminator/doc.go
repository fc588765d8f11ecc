// Package terminator decides when a session that has been asked to end does so, and with which
// error.
//
// A session is asked to end in one of four ways: it is drained before a planned stop, displaced
// in favor of a new connection, expired at the end of such a stop, or revoked because its caller
// may no longer use it. A drained or displaced one ends when it is idle, which means that it
// waits for a request with no transaction open. An expired or revoked one ends as soon as no
// request is running, even inside a transaction, which is then rolled back.
//
// A request that runs is answered before the session ends, unless its run panics.
//
// A [FatalError] ends a session with one last response, [ErrClosed] without one.
package terminator
