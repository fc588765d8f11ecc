// Package charger charges the work of one session to the quota of its caller's team.
//
// An operation is what a quota counts: a batch outside a transaction, or a whole transaction.
// It takes a token before it waits for a server connection, and is not cut by the quota after
// that. A token that has expired during the wait is given back and taken again, because the
// quota may have granted it to another operation.
//
// Invariants:
//
//   - Each operation ends exactly once: as one that ran, or as one that is given back.
//   - An operation is given back only if no server ran a part of it, or may have.
package charger
