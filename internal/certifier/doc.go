// Package certifier confirms, for the sessions of one database group, that what they tell their
// callers survives a change of primary.
//
// Confirmation, by package confirmer, shows that a position of the primary's log survives. A
// fresh confirmation also shows that no later term was established before it was requested.
// The answer to a commit needs the confirmation of its position, the answer to a strict read a
// fresh one: a [Fresh] runs in parallel with the read, before its position is known.
//
// While confirmations fail or are late, the group is suspect, and new work is refused unless
// one succeeds first ([Certifier.Check]): the outcome of a commit would remain unknown.
//
// A [Minimum] is the log position that a replica must have applied before it may answer a
// session's reads. It is at or past the session's own commits.
package certifier
