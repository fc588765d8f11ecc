// Package replacer changes the primary of a service: by a failover after it has
// failed or when its commits are not acknowledged, and by a switchover when it is
// draining or when all its replicas are so far behind that they serve no reads. A
// [Replacer] does so only while this instance is the coordinator (see package
// holder), and tells all other instances of the new primary.
//
// A commit is acknowledged only when the primary and at least one replica have it.
// A replica that is paused for a term receives nothing from primaries of earlier
// terms. The primary is fenced when no set of servers can acknowledge commits in
// its term any more:
//
//   - every replica is paused for the later term, or is the next primary, or
//   - the primary has stepped down, which means that it gave up its role.
//
// A change takes effect only when the primary is fenced; package attester relies on
// it. A fence can be lost again before the effect: a replica that restarts forgets its
// pause, and a replica that joins was never paused. Commits that the old primary
// acknowledges with such a replica are lost, so an instance tells its caller of a
// success only with a proof of package attester, which no replica gives after the
// fence. The new primary must have every acknowledged commit. If all replicas are
// fenced, the longest of their logs has them; if only the old primary is, its own
// log has them, and a server with a log as long may lead.
//
// The servers are those that a list shows which is read after the end of all primary
// leases, and those that were listed within [unlistedRetention] and may still run: an
// entry that is missing does not show that its server has ended. A server that has
// departed may have taken the only other copy of a commit along, so for the same time
// the next primary must have the log that the primary had after the departure.
//
// A failover steps the primary down, if it can be reached, pauses all replicas and
// promotes a server with a sufficient log. A switchover pauses all replicas but
// the one with the longest log, waits until that one has all that the others and the
// primary have, and promotes it. From then on a commit counts only if the chosen
// replica has it, and the primary can serve until the promotion; then the primary is
// stepped down. Callers wait only during the promotion itself.
//
// The state of a change is kept only in the servers: the next coordinator finds
// terms and pauses there and starts the change again at the fencing. A pause ends
// only when the new primary leads.
//
// The coordinator also grants primary leases ([Replacer.GrantLeases]), which are such
// proofs. A server is promoted only when all granted leases have expired, and it is
// chosen by the logs of the fenced servers after that. During a switchover the
// coordinator grants switchover leases, which name the next primary: a commit that this
// one has received is safe.
package replacer
