// Package pooler keeps connections to the backend servers and hands each of them
// to one holder at a time. It also has the retry budget of an instance.
//
// Vocabulary:
//
//   - A grant is the number of connections to one server that this instance may
//     have. The instance that has the monitor role of the group divides the
//     server's connection limit among the instances. A grant expires after
//     [GrantDuration] unless it is renewed; without one, an instance may have
//     [UngrantedConnections]. The number that applies now is the allowance.
//   - A handle is the exclusive use of a connection, the [Conn] that
//     [Pool.Acquire] returns. It ends with Release or Discard.
//   - A connection is clean when it is outside a transaction, every response was
//     read and nothing is buffered.
//   - A cancel request is in flight when it was sent and the server has not yet
//     closed the connection that carried it. It may still reach the server and
//     cancel whatever statement runs then.
//
// Invariants:
//
//   - The pool opens no connection to a server beyond the allowance. When the
//     allowance drops, it closes surplus connections as soon as they are idle.
//   - The number of waiting requests and their time are bounded. Under overload
//     the requests of the lowest class are refused first.
//   - A connection returns to the pool only if it is clean and no cancel request
//     is in flight. Any other connection is closed.
package pooler
