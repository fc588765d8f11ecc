// Package retainer keeps the server connection that one session retains between batches.
//
// A session retains a connection inside a transaction, between Flush and Sync, and while it is
// pinned. It is pinned when session state, such as a setting or a temporary table, lives on its
// server connection, and stays so until it ends. The number of pinned connections of each
// caller is limited ([Pins]).
//
// A [Retainer] knows in which state the caller is: the [Transaction] that is open, a
// transaction that has failed and has no connection any more, or a batch that awaits Sync.
//
// Invariants:
//
//   - A Retainer releases a connection only outside transactions, after every response was read,
//     and without state of the session; otherwise it discards it. Connections that a session never
//     retains, those of reads on replicas and of the proxy's own statements on request keys, are
//     given back by packages director and concluder under the same rule.
//   - A transaction that has lost its connection goes on as a failed one until the caller ends
//     it. It never continues on another connection.
//   - A pinned connection that is lost ends the session with its next error.
package retainer
