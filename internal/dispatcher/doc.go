// Package dispatcher runs callers' statements on backend servers: it picks the
// server, waits for a connection, retries what was not run, and tells the
// outcome truthfully.
//
// Outcomes. A statement that no server ran is refused with a code that promises
// so. A read may run again elsewhere when its answer is lost. A write or a
// commit whose answer is lost ends with [exchanger.UnknownOutcome]. A
// transaction that breaks before its commit was sent is aborted: its server
// rolls back when the connection closes.
package dispatcher
