// Package relayer serves the connection of one caller after authentication: it
// reads the caller's messages, runs them on backend servers of the caller's
// database group, and answers them.
//
// A [Relayer] keeps what all sessions of an instance share; a [Session] serves one connection.
// The rest is in packages, in the order in which a statement passes through them:
//
//   - batcher puts the caller's messages together into batches, which are the unit that is run:
//     one simple query, or extended-protocol messages up to Sync or Flush. Package terminator
//     ends a session that was told to.
//   - planner says what a batch does. Package replier answers those that need no server.
//   - charger charges the batch to the quota of the caller's team, as an operation: a batch
//     outside a transaction, or a whole transaction.
//   - director decides where the batch runs and how often it is tried.
//   - acquirer waits for a primary and a server connection; router chooses a replica for a
//     bounded read, which accepts data of a stated age. A strict read accepts no stale data and
//     runs on the primary. Inside a transaction, between Flush and Sync, and while session state
//     lives on the connection, package retainer keeps it.
//   - runner runs the batch on the connection, with translator for the names of prepared
//     statements and rewriter for request keys, and buffers the answer in responder.
//   - certifier confirms that the position of a commit or of a strict read survives a change of
//     primary, and knows the minimum position of the session. The session token carries it to
//     other connections.
//   - concluder decides what becomes of the connection and what the caller is answered.
//
// Each of these packages states its invariants. Those of a session as a whole:
//
//   - A batch is answered at most once, and before the next one is run. It gets no answer if the
//     session ends first: by a panic, because the caller has gone, or because its access was
//     withdrawn before the batch ran.
//   - A batch is retried only if nothing of its answer was passed on and it is
//     proved that it had no effect; a budget limits the retries.
//   - A batch that begins outside a transaction has released or discarded its server connection
//     when it is answered, unless the session retains it.
//   - What a session holds is given back when it ends, also by a panic, which ends no other
//     session.
package relayer
