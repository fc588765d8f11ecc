// Package relayer serves one caller connection after authentication.
//
// The caller's messages are gathered into batches: one simple query, or
// extended-protocol messages up to Sync or Flush. A batch outside a
// transaction borrows a server connection, runs, and gives the connection
// back; inside a transaction the connection stays with the caller.
//
// Invariants:
//
//   - A server connection is released only after ReadyForQuery with status 'I'
//     and after every response was read; otherwise it is discarded.
//   - The answer to a commit or to a strict read is withheld until its
//     position is confirmed. A status query is sent behind the batch as a
//     simple query of its own, so that an error inside the batch does not
//     swallow it.
//   - A batch is repeated only if nothing of its answer was passed on and
//     there is proof that it had no effect.
//   - An error that follows a batch that may have committed says "unknown"
//     unless the outcome is proved.
package relayer
