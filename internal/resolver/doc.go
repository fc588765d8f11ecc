// Package resolver determines the outcome of a request whose commit may have been
// lost: done, not run or unknown. It also builds the proxy's own error responses.
//
// A commit lies between two positions of the primary's log: after Lower, which
// the primary had reached before the request was sent, and at or before Upper,
// which the primary reported after the commit. If the primary was replaced, the
// log of the later established term (see package tracker) decides whether the
// commit survived. The lineage of that log, its list of terms with the offset at
// which each starts, shows which positions of the old log it contains. A commit
// without a write leaves no record in the log, so [Evidence] collects what
// command tags prove about writes.
//
// Done and NotRun are returned only if they are proved. A caller repeats a
// request that is NotRun and never one that is Done, so a wrong NotRun would run
// it twice, and a wrong Done would lose it.
package resolver
