// Package runner runs batches on server connections.
//
// An [Exchange] is the run of one batch on one connection: it sends the batch, takes in the
// responses, and buffers or passes on the answer. A batch that is retried has several. What the
// responses have shown is its [Result]; package concluder decides by it.
//
// The status query returns the server's status row: its role and its log position. On the
// primary it follows the batch, as a simple query of its own, so that the server also answers it
// when a statement of the batch fails. On a replica it precedes the batch, whose answer is used
// only if the row covers the read.
//
// Invariants:
//
//   - The answer to a commit or to a strict read stays in the buffer until it is confirmed. Only
//     rows beyond a limit, and results before Flush, may be passed on earlier; ReadyForQuery
//     never is.
//   - Every response is read, also when the caller has disconnected or does not read, unless
//     that would take too long. A [LostError] says that the connection must not be used again.
//   - A wait for the primary ends when another server has become the primary. A wait for a
//     replica ends when its status row has not arrived in time or the replica is not reachable.
package runner
