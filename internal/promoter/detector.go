package promoter

import (
	"math/rand/v2"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	// unreachableLimit and unreachableProbes decide that a server is gone. Two
	// probes are needed so that one lost packet or a pause of this process is
	// not taken for a failure.
	unreachableLimit  = 400 * time.Millisecond
	unreachableProbes = 2

	// firstRecordLimit is the time that a leading server has to show the first
	// record of its term.
	firstRecordLimit = 400 * time.Millisecond
	// establishLimit is the time that the other servers have to store it. It is
	// long, because another promotion would not help replicas that are behind.
	establishLimit = 10 * time.Second

	// foreignGrace is the time that another promoter has to finish a fence
	// that is seen before its primary is.
	foreignGrace  = 150 * time.Millisecond
	foreignJitter = 100 * time.Millisecond
)

// Reasons for a change of primary, as they appear on the timeline.
const (
	reasonRefused        = "primary_refused"
	reasonUnreachable    = "primary_unreachable"
	reasonNoPrimary      = "no_primary"
	reasonNotEstablished = "not_established"
	reasonStalled        = "replication_stalled"
	reasonStrayFence     = "stray_fence"
)

// detector decides whether a group needs a new primary.
type detector struct {
	highest uint64
	// since is the time at which highest was first seen.
	since time.Time
	grace time.Duration
	// own is the newest term of this promoter's own attempts.
	own     uint64
	stall   stallWatch
	backoff stallBackoff
}

// check returns the reason for a promotion, or the empty string. Without a
// reachable majority it never returns a reason, because a fence of a minority
// only removes servers from the group.
func (d *detector) check(s tracker.State, now time.Time) string {
	d.follow(s, now)
	if countReachable(s) < majority(s) {
		return ""
	}
	leader, ok := s.Leader(d.highest)
	switch {
	case !ok:
		return d.checkLeaderless(s, now)
	case leader.Refused:
		return reasonRefused
	case isGone(leader, now):
		return reasonUnreachable
	case leader.Reachable():
		return d.checkReplication(s, leader, now)
	}
	return ""
}

// checkReplication is check for a group whose leader is reachable. Promotions
// because records of the leader reach no majority share one backoff, because
// they recur when no server's records do.
func (d *detector) checkReplication(s tracker.State, leader tracker.Observation, now time.Time) string {
	d.stall.note(s, leader, now)
	if d.highest > s.Term {
		return d.checkUnestablished(leader, now)
	}
	if d.stall.isStalled(now) && canExclude(s, leader.Server) && d.backoff.take(now) {
		return reasonStalled
	}
	return ""
}

func (d *detector) checkUnestablished(leader tracker.Observation, now time.Time) string {
	age := now.Sub(d.since)
	hasFirstRecord := leader.Status.Log.Term == leader.Status.Term
	if !hasFirstRecord && age >= firstRecordLimit {
		return reasonNotEstablished
	}
	if age >= establishLimit && d.backoff.take(now) {
		return reasonNotEstablished
	}
	return ""
}

// excluded returns the server that a promotion for the reason leaves out of
// the choice, or the empty string. A leader whose records reach nobody has the
// highest log end and would be chosen again.
func (d *detector) excluded(s tracker.State, reason string) string {
	leader, ok := s.Leader(d.highest)
	if !ok || reason != reasonStalled && reason != reasonNotEstablished || !canExclude(s, leader.Server) {
		return ""
	}
	return leader.Server
}

// follow notes the highest term seen.
func (d *detector) follow(s tracker.State, now time.Time) {
	highest := s.HighestTerm()
	if highest == d.highest && !d.since.IsZero() {
		return
	}
	d.highest, d.since = highest, now
	d.grace = foreignGrace + rand.N(foreignJitter)
}

// checkLeaderless is check for a group in which no server is known to lead the
// highest term.
func (d *detector) checkLeaderless(s tracker.State, now time.Time) string {
	if isServing(s) {
		return ""
	}
	for _, o := range s.Servers {
		if !o.Reachable() && !isGone(o, now) {
			return ""
		}
	}
	if d.highest > 0 && d.highest != d.own && now.Sub(d.since) < d.grace {
		return ""
	}
	return reasonNoPrimary
}

// hasStrayFence reports whether a server accepted a term that nobody leads
// while the established primary still serves. That server can only return to
// the group in a later term.
func (d *detector) hasStrayFence(s tracker.State, now time.Time) bool {
	_, led := s.Leader(d.highest)
	return !led && d.highest > s.Term && isServing(s) && now.Sub(d.since) >= time.Second
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

// isGone reports whether the server has been unreachable for long enough.
func isGone(o tracker.Observation, now time.Time) bool {
	if o.Refused {
		return true
	}
	since := o.FailedAt
	if o.Seen() {
		since = o.ReceivedAt
	}
	return o.Failures >= unreachableProbes && now.Sub(since) >= unreachableLimit
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
