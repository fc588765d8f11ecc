// Package resolver determines the outcome of a request whose commit may have been
// lost: done, not run or unknown. It also builds the proxy's own error responses.
//
// A commit lies between two positions of the primary's log: after Lower, which the
// primary had reached before the request was sent, and at or before Upper, which
// the primary reported after the commit. The lineage of a later established term,
// the terms of its log with the offset at which each starts, then shows whether the
// commit survived. A commit without a write leaves no record in the log, so
// [Evidence] collects what command tags prove about writes.
//
// Done and NotRun are returned only if they are proved. A wrong NotRun would run a
// request twice, and a wrong Done would lose it.
package resolver
