package throttler

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// instancesPerGroup is the number of instances for each group of teams. An instance
	// sends about ten requests a second to each allocator.
	instancesPerGroup = 100
	// candidates is the number of instances that may allocate the quotas of a group. With 12,
	// a third of the fleet that is partitioned from the rest has one in 99 of 100 cases, with
	// 5 in 87.
	candidates = 12
	// minAvoid is the first pause before a candidate is asked again that was not reached.
	// The pause doubles up to maxAvoid, about the time until the list of instances shows
	// that an instance is gone.
	minAvoid = time.Second
	maxAvoid = 4 * time.Second
	// formerValid is how long after its start a pause lengthens the next one, though the
	// candidate has answered since.
	formerValid = 2 * maxAvoid
	// suspectPause is the least time between requests to candidates that did not answer
	// before. Each of them delays the operations that arrive meanwhile.
	suspectPause = time.Second
	// maxTimeouts is the number of requests in succession without an answer after which a
	// candidate is avoided. One may be lost to a pause of a machine whose processor share
	// is used up.
	maxTimeouts = 2
	// majorShare is the part of the refill that a candidate must get to be preferred, and
	// shareValid how long it counts what it said about that; twice that while an operation
	// waits.
	majorShare = 0.5
	shareValid = 3 * time.Second
)

// groupOf returns the group of the team in a fleet of n instances.
func groupOf(team string, n int) string {
	groups := (n + instancesPerGroup - 1) / instancesPerGroup
	if groups <= 1 {
		return "1/1"
	}
	h := fnv.New32a()
	h.Write([]byte(team))
	return fmt.Sprintf("%d/%d", int(h.Sum32()%uint32(groups))+1, groups)
}

// reserveCapacity returns the part of the instance in the team's reserve in a fleet of n
// instances, of which peers are listed. If the reserve is smaller than the fleet, as many
// instances as it has tokens get one, and of the listed ones their part.
func reserveCapacity(team, instance string, limits allocator.Limits, peers []placer.Peer, n int) float64 {
	part := limits.Reserve / float64(max(n, len(peers), 1))
	if part >= 1 {
		return part
	}
	chosen := placer.Rendezvous("quota reserve/"+team, peers, int(part*float64(len(peers))))
	if slices.ContainsFunc(chosen, func(p placer.Peer) bool { return p.Name == instance }) {
		return 1
	}
	return 0
}

// reachability is what an instance knows of a candidate.
type reachability struct {
	timeouts   int
	avoid      time.Duration
	avoidUntil time.Time
	// missed is when it last did not answer.
	missed time.Time
	// share is the part of the refill that the candidate gets, as of an answer at the time;
	// 0 if the candidate could not tell.
	share   float64
	shareAt time.Time
	// former is the last pause, which began at formerAt. It is kept after an answer.
	former   time.Duration
	formerAt time.Time
}

// answered records an answer.
func (r *reachability) answered(out *wire.QuotaResponse, now time.Time) {
	*r = reachability{share: float64(out.GetRefillPermille()) / 1000, shareAt: now, former: r.former, formerAt: r.formerAt}
}

// timedOut records that a request was not answered. Limit is the number of such requests
// after which the candidate is avoided, unless it answered lately: one slow answer is no reason
// then.
func (r *reachability) timedOut(limit int, now time.Time) {
	if r.answeredWithin(shareValid, now) {
		limit = maxTimeouts
	}
	r.timeouts++
	if r.timeouts >= limit {
		r.unreached(now)
	}
}

// timeoutLimit returns the number of requests without an answer after which a candidate is
// avoided: maxTimeouts, but one after another candidate was silent. An instance that is
// partitioned from most candidates finds one on its side sooner then.
func timeoutLimit(known []*reachability, now time.Time) int {
	if now.Sub(lastMissed(known)) < suspectPause {
		return 1
	}
	return maxTimeouts
}

// lastMissed returns when a candidate last did not answer.
func lastMissed(known []*reachability) time.Time {
	var last time.Time
	for _, r := range known {
		if r.missed.After(last) {
			last = r.missed
		}
	}
	return last
}

// unreached makes the candidate avoided for a while. One that answers only now and then is
// avoided for longer each time.
func (r *reachability) unreached(now time.Time) {
	r.timeouts = max(r.timeouts, maxTimeouts)
	if r.avoid == 0 && now.Sub(r.formerAt) < formerValid {
		r.avoid = r.former
	}
	r.avoid = min(max(2*r.avoid, minAvoid), maxAvoid)
	r.avoidUntil, r.missed = now.Add(r.avoid), now
	r.former, r.formerAt = r.avoid, now
}

// answeredWithin reports whether the candidate has answered within the time.
func (r *reachability) answeredWithin(d time.Duration, now time.Time) bool {
	return !r.shareAt.IsZero() && now.Sub(r.shareAt) <= d
}

// isAway reports whether the candidate is avoided or did not answer before.
func (r *reachability) isAway(now time.Time) bool { return r.isSuspect() || now.Before(r.avoidUntil) }

// isSuspect reports whether the candidate did not answer before and has not answered since.
func (r *reachability) isSuspect() bool { return r.avoid > 0 }

// standing is how much a candidate is used, as far as is known.
type standing int

const (
	// unknown means that it was not asked lately.
	unknown standing = iota
	// young means that it could not tell.
	young
	minor
	major
)

// standing returns how much the candidate is used.
func (r *reachability) standing(isUrgent bool, now time.Time) standing {
	valid := shareValid
	if isUrgent {
		valid *= 2
	}
	switch {
	case !r.answeredWithin(valid, now):
		return unknown
	case r.share == 0:
		return young
	case r.share < majorShare:
		return minor
	}
	return major
}
