// Package attester tracks which backend server is the primary of a service and
// proves that it still is.
//
// A [Group] is the view of one service. Its [Leader] is the primary of a term;
// terms grow with each change of primary. There are two proofs that a leader is
// still the primary of its term:
//
//   - Confirmation by a replica ([Group.ConfirmByReplica]): a replica reports that
//     it knows no later term, and no other one that answers is paused for one.
//   - A primary lease ([Group.ExtendLease], [Group.HasLease]): the coordinator, the
//     instance that may change primaries, guarantees for a short time that it will
//     not change this one. A lease proves the same as a confirmation without a
//     request to the servers. Confirmations are used when there is no lease, such as
//     while no instance is the coordinator.
//
// A [Sample] is a log position of the leader and a time just before the position
// was requested. It is kept only if one of the proofs shows that the leader was
// the primary then. A read at a server that has applied the position shows every
// commit acknowledged before that time.
//
// Confirmation by a replica rests on package replacer: a change of primary takes
// effect only after the leader has stepped down, which means that it gave up its
// role, or every replica has been paused for a later term. A paused replica no
// longer receives the log of earlier terms, so it acknowledges none of their
// commits, and it reports the later term. If a replica reports that it knows no
// later term, it was not paused; if the leader reports that it still leads, it had
// not stepped down. Then no change had taken effect when they were asked, and no
// later primary had acknowledged anything. A read that arrived before they were
// asked, and ran at the leader, shows every commit that was acknowledged before it.
//
// A commit needs a proof of its own ([Group.ConfirmCommit]) before its caller is told of
// the success. The leader acknowledges a commit that one replica has received, but the
// next primary may be chosen already, and the replica may be one that a restart freed
// from its pause. During a switchover the coordinator grants switchover leases
// ([Group.ExtendSwitchover]) in place of primary leases: they name the next primary, and
// a commit that this one has is safe.
//
// A replica that restarted forgets that it was paused, and one that has joined since a
// fence was never paused: at an instance that is cut off from the coordinator it could
// confirm a replaced primary for as long as the cut lasts. A replica is established, and
// may confirm alone, if this instance knew this incarnation of it before the end of its
// last primary lease: the coordinator lists the servers that it fences after the end of
// all leases. If no replica is established, all of them must answer and confirm. A replica
// that restarted under its id is taken for an established one until its new start is
// listed, so all replicas are asked, and one that is paused for a later term or knows it
// outweighs those that confirm.
//
// During a switchover all replicas but the next primary are paused while the leader still serves.
// Under a switchover lease only the next primary is asked, as no other server can lead. After the
// lease the call for the next primary may still take effect: as long as no primary lease has been
// recorded since, for up to [SettleLimit], it must confirm in addition to the others, which may
// have lost their pauses in a restart.
package attester
