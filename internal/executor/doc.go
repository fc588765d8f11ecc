// Package executor runs the statements of other instances, for which this one is a gateway.
//
// A statement that begins no transaction gets a slot and a connection like a caller's own,
// or a reply that says why it did not run. A transaction pins its connection under the id
// that the other instance chose, and a slot is taken for each of its statements only. The
// connection is released when the transaction ends, when the other instance discards it, or
// when it was idle for too long because that instance has gone; it is rolled back then.
//
// A pinned connection runs one statement at a time, and only for the team that opened it.
// An instance that stops, or is no gateway of the server, takes no new work and says so;
// open transactions may go on to their end.
package executor
