// Package logstore holds the replicated log of a backend server stand-in and
// the state that survives a restart.
//
// A record is one committed write transaction: its statements with their
// parameters, in order. Rows are always rebuilt from records, so the log is the
// only durable data. Files are written without fsync: they survive the death
// of the process, not of the machine.
package logstore
