// Package attester tracks which backend server is the primary of a service and
// proves that it still is.
//
// A [Group] is the view of one service. Its [Leader] is the primary of a term;
// terms grow with each change of primary. The package offers three proofs, all
// of which are about one leader and one term:
//
//   - Confirmation by a replica ([Group.ConfirmByReplica]): a replica reports that
//     it knows no later term.
//   - A primary lease ([Group.ExtendLease], [Group.HasLease]): the coordinator, the
//     instance that may change primaries, guarantees for a short time that it will
//     not change this one. A lease proves the same as a confirmation without a
//     request to the servers. Confirmations serve the times without a coordinator.
//   - A [Sample]: a log position of the leader with the time before it was
//     requested, kept only with one of the proofs above. A read at a server that
//     has applied the position shows every commit acknowledged before that time.
//
// Confirmation by a replica rests on two rules of package replacer. A change of
// primary takes effect only after the leader has stepped down or every replica
// has been paused for a later term. So, if a replica and the leader both report
// that they know no later term, no later primary had acknowledged anything when
// they were asked. A read that arrived before they were asked, and ran at the
// leader, shows every commit that was acknowledged before it.
//
// A replica that restarted forgets that it was paused. A replica is established,
// and may confirm alone, if this instance has known it for [establishedAfter] or
// if it says that it started at least [establishedUptime] ago. Replicas that are
// not established confirm only all together.
package attester
