// Package replacer changes the primary of a service: by a failover after it has
// failed or when its commits are not acknowledged, and by a switchover when it is
// about to leave or when all its replicas are so far behind that they serve no
// reads. A [Replacer] does so only while this instance is the coordinator (see
// package holder), and tells all other instances of the new primary.
//
// A commit is acknowledged when the primary and one replica have it. The primary
// is fenced when no set of servers can acknowledge commits in its term any more:
//
//   - every replica is paused for the later term, or is the next primary, or
//   - the primary has stepped down.
//
// A change takes effect only behind such a fence; package attester relies on it.
// Which log the new primary must have depends on the fence; see [choose].
//
// A failover steps the primary down, if it can be reached, pauses all replicas,
// chooses the longest log and promotes its server. A switchover pauses all
// replicas but the chosen one, so that every commit from then on is in the chosen
// one's log, promotes that one while the primary still serves, and then steps the
// primary down. Callers notice only the promotion itself.
//
// The state of a change is kept only in the servers: the next coordinator finds
// terms and pauses there and starts again with the fence. A pause ends only when
// the new primary leads.
//
// The coordinator also grants primary leases ([Replacer.GrantLeases]). A server is
// promoted only when all granted leases have expired.
package replacer
