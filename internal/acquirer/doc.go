// Package acquirer acquires server connections for one session.
//
// Work that needs the primary waits while there is no established one, or a planned change of
// primary is announced, and then for a connection; a [Wait] bounds both. The wait for a
// connection ends early when the caller cancels it, has closed its connection, or another
// server has become the primary. A session that has waited for a while is starved, and callers
// that do not read their answers give up their connections.
//
// Invariants:
//
//   - An error proves that nothing was sent for this attempt.
//   - A session counts as in flight on the primary from before it has seen that no planned
//     change of primary is announced until [Acquirer.EndUse], so that such a change waits for it.
//   - Each connection is known until it is released or discarded. [Acquirer.Close] discards
//     those that are left, so that a panic keeps none of them for ever.
//   - A cancel request reaches only the connection on which the session's statement runs.
package acquirer
