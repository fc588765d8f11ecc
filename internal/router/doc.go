// Package router selects the server for a statement: a replica that is recent
// enough, or the primary.
//
// A read is bounded if every table that it names has a read rule in the
// manifest; its result may then be as old as the lowest age that these rules
// allow. All other reads are strict and go to the primary, like writes. A
// bounded read goes to a replica only if the replica is expected to have
// applied the session's minimum position, the log position that the session's
// reads must reflect, and to be within the age bound.
//
// The router decides from a view of the group, which may be out of date, so a
// [Choice] is only a hint. The relayer checks each answer of a replica against
// the status row that comes with it and rejects the answer if the replica was
// not recent enough.
package router
