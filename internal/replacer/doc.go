// Package replacer changes the primary of a service: after a failure, when it
// is about to leave, when its commits are not acknowledged, or when all its replicas
// are so far behind that they serve no reads.
//
// A commit is acknowledged when the primary and one replica have it. So one of
// these fences meets every set that can still acknowledge:
//
//   - every replica is paused for the later term, or is the one that will lead;
//   - the primary has stepped down.
//
// A change takes effect only behind such a fence, which package attester relies
// on. What the new primary must have depends on the fence; see [choose].
//
// A change after a failure steps the primary down, if it can be reached, pauses
// all replicas, chooses the longest log and promotes it. A planned change
// pauses all replicas but the chosen one, so that every commit from then on is
// in the chosen one's log, promotes it while the primary goes on, and then
// steps the primary down: callers notice nothing but the change itself.
//
// Nothing is kept between the steps but in the servers: whoever holds the duty
// next finds terms and pauses there and starts again with the fence. A pause is
// lifted only when the new primary leads.
package replacer
