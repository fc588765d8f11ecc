// Package committer answers commits: those of single writes and of transactions that wrote.
//
// A commit that the primary has acknowledged is reported as a success only once it is proved
// to outlast a change of the primary: this instance holds a primary lease, or a replica that
// must be part of the change confirms it. A service whose commits need no replica has no
// such proof and needs none. Otherwise, and when the answer was lost, the outcome is
// unknown: the commit may have taken effect and must not be sent again.
package committer
