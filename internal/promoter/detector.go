package promoter

import (
	"math/rand/v2"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	// A server is unreachable when at least unreachableFailures probes failed and
	// none succeeded for unreachableTimeout. One failure is not enough: it may be
	// a lost packet or a pause of this process.
	unreachableTimeout  = 400 * time.Millisecond
	unreachableFailures = 2

	// firstRecordTimeout is the time that a promoted server has to show the
	// first record of its term.
	firstRecordTimeout = 400 * time.Millisecond
	// replicationTimeout is the time that the other servers have to store that
	// record. It is long, because another promotion does not help replicas that
	// are behind.
	replicationTimeout = 10 * time.Second

	// rivalFenceGrace plus a random part of rivalFenceJitter is the time that
	// another promoter has to promote a server after its fence was observed.
	rivalFenceGrace  = 150 * time.Millisecond
	rivalFenceJitter = 100 * time.Millisecond
)

// Reasons for a change of primary, as recorded in events.
const (
	reasonRefused        = "primary_refused"
	reasonUnreachable    = "primary_unreachable"
	reasonNoPrimary      = "no_primary"
	reasonNotEstablished = "not_established"
	reasonStalled        = "replication_stalled"
	reasonOrphanedFence  = "stray_fence"
)

// detector decides whether a group needs a new primary.
type detector struct {
	// highestTerm is the highest term that any server accepted.
	highestTerm uint64
	// highestSince is the time at which highestTerm was first observed.
	highestSince time.Time
	// grace is the time from highestSince that another promoter has to finish.
	grace time.Duration
	// ownTerm is the term of this promoter's newest attempt.
	ownTerm uint64
	stall   stallDetector
	backoff stallBackoff
}

// check returns the reason for a promotion, or the empty string if none is
// needed. It returns no reason while fewer than a majority of the servers are
// reachable, because fencing a minority only removes servers from the group.
func (d *detector) check(s tracker.State, now time.Time) string {
	d.updateHighestTerm(s, now)
	if countReachable(s) < majority(s) {
		return ""
	}
	leader, ok := s.Leader(d.highestTerm)
	switch {
	case !ok:
		return d.checkLeaderless(s, now)
	case leader.Refused:
		return reasonRefused
	case isUnreachable(leader, now):
		return reasonUnreachable
	case leader.Reachable():
		return d.checkReplication(s, leader, now)
	}
	return ""
}

// checkReplication is check for a group whose leader is reachable. All
// promotions because the leader's records reach no majority share one backoff:
// they would recur without end if no server's records reached a majority.
func (d *detector) checkReplication(s tracker.State, leader tracker.Observation, now time.Time) string {
	d.stall.update(s, leader, now)
	if d.highestTerm > s.Term {
		return d.checkUnestablished(leader, now)
	}
	if d.stall.isStalled(now) && canExclude(s, leader.Server) && d.backoff.allow(now) {
		return reasonStalled
	}
	return ""
}

// checkUnestablished is check for a reachable leader whose term is not
// established yet.
func (d *detector) checkUnestablished(leader tracker.Observation, now time.Time) string {
	age := now.Sub(d.highestSince)
	hasFirstRecord := leader.Status.Log.Term == leader.Status.Term
	if !hasFirstRecord && age >= firstRecordTimeout {
		return reasonNotEstablished
	}
	if age >= replicationTimeout && d.backoff.allow(now) {
		return reasonNotEstablished
	}
	return ""
}

// excluded returns the server that a promotion for the reason must not choose,
// or the empty string. A leader whose records reach no other server has the
// highest log end and would otherwise be chosen again.
func (d *detector) excluded(s tracker.State, reason string) string {
	leader, ok := s.Leader(d.highestTerm)
	if !ok || reason != reasonStalled && reason != reasonNotEstablished || !canExclude(s, leader.Server) {
		return ""
	}
	return leader.Server
}

// updateHighestTerm updates the highest term and the time it was observed.
func (d *detector) updateHighestTerm(s tracker.State, now time.Time) {
	highest := s.HighestTerm()
	if highest == d.highestTerm && !d.highestSince.IsZero() {
		return
	}
	d.highestTerm, d.highestSince = highest, now
	d.grace = rivalFenceGrace + rand.N(rivalFenceJitter)
}

// checkLeaderless is check for a group in which no server is known to lead the
// highest term. It waits until every server is either reachable or unreachable
// for long enough, and gives another promoter time to finish.
func (d *detector) checkLeaderless(s tracker.State, now time.Time) string {
	if isServing(s) {
		return ""
	}
	for _, o := range s.Servers {
		if !o.Reachable() && !isUnreachable(o, now) {
			return ""
		}
	}
	if d.highestTerm > 0 && d.highestTerm != d.ownTerm && now.Sub(d.highestSince) < d.grace {
		return ""
	}
	return reasonNoPrimary
}

// hasOrphanedFence reports whether a server accepted a term that nobody leads
// while the established primary still serves. That server can only rejoin the
// group in a later term.
func (d *detector) hasOrphanedFence(s tracker.State, now time.Time) bool {
	_, led := s.Leader(d.highestTerm)
	return !led && d.highestTerm > s.Term && isServing(s) && now.Sub(d.highestSince) >= time.Second
}

// isServing reports whether the established primary and a majority are
// reachable in the established term.
func isServing(s tracker.State) bool {
	primary := s.Server(s.Primary)
	if s.Term == 0 || !primary.Reachable() || primary.Status.Role != tracker.RolePrimary {
		return false
	}
	n := 0
	for _, o := range s.Servers {
		if o.Reachable() && o.Status.Term == s.Term && o.Status.Role != tracker.RoleFenced {
			n++
		}
	}
	return primary.Status.Term == s.Term && n >= majority(s)
}

// isUnreachable reports whether the server refused a connection, or failed to
// answer probes for unreachableTimeout.
func isUnreachable(o tracker.Observation, now time.Time) bool {
	if o.Refused {
		return true
	}
	since := o.FailedAt
	if o.Seen() {
		since = o.ReceivedAt
	}
	return o.Failures >= unreachableFailures && now.Sub(since) >= unreachableTimeout
}

func majority(s tracker.State) int { return len(s.Servers)/2 + 1 }

func countReachable(s tracker.State) int {
	n := 0
	for _, o := range s.Servers {
		if o.Reachable() {
			n++
		}
	}
	return n
}
