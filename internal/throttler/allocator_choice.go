package throttler

import (
	"slices"
	"time"

	"marigoldhub.example/hub/internal/placer"
)

const (
	// minStay is how long an instance stays with an allocator that answers, after a change to
	// it. An allocator tells what it gets as an average over a second.
	minStay = time.Second
	// probePause separates requests that ask other candidates how much they are used.
	probePause = 250 * time.Millisecond
	// freshShare is for how long an answer is enough to change to a candidate.
	freshShare = time.Second
	// usedShare is the part of the refill from which on a candidate that answers is preferred to
	// one that was not asked yet.
	usedShare = 0.2
	// While none gets most of the refill, a later candidate must get largerBy times what the
	// present one gets, an earlier one lessBy times. The gap between the two keeps instances
	// from switching back and forth between two candidates.
	largerBy = 1.5
	lessBy   = 0.75
)

// allocatorChoice chooses the candidate to send requests to. It stays with one that answers,
// because each change splits the refill over several candidates, and a team gets tokens only
// where the refill is.
type allocatorChoice struct {
	reached map[string]*reachability
	// current is the candidate that this instance contributes to; nil before the first answer.
	current *reachability
	// changed is when another one became the current one, probed when one was last asked for
	// how much it is used.
	changed, probed time.Time
}

// candidates returns what is known of the chosen instances, and forgets others.
func (c *allocatorChoice) candidates(chosen []placer.Peer) []*reachability {
	reached := map[string]*reachability{}
	known := make([]*reachability, len(chosen))
	for i, p := range chosen {
		r := c.reached[p.Name]
		if r == nil {
			r = &reachability{}
		}
		reached[p.Name], known[i] = r, r
	}
	c.reached = reached
	return known
}

// adopt makes the candidate the current one after it has answered.
func (c *allocatorChoice) adopt(r *reachability, now time.Time) {
	if r != c.current && c.current != nil {
		c.changed = now
	}
	c.current = r
}

// choose returns the index of the candidate to ask; -1 if none should be. A probe finds out
// whether the candidate answers, or how much it is used, and contributes nothing.
//
// The current candidate is kept while it answers and gets most of the refill. If it gets less,
// others are probed, and one that gets more replaces it: while lists of instances differ, those
// that list a new first candidate early would share only their own part of the refill there.
func (c *allocatorChoice) choose(known []*reachability, isUrgent bool, now time.Time) (chosen int, isProbe bool) {
	current := slices.Index(known, c.current)
	if current < 0 || known[current].isAway(now) {
		return chooseAnew(known, isUrgent, now)
	}
	s := known[current].standing(isUrgent, now)
	if s != minor && (s != young || !c.changed.IsZero()) {
		return current, false
	}
	if i := better(known, current, isUrgent, now); i >= 0 {
		isFresh := known[i].answeredWithin(freshShare, now) && !known[i].isSuspect()
		if isFresh && now.Sub(c.changed) >= minStay {
			return i, false
		}
		if !isFresh && now.Sub(c.probed) >= probePause {
			c.probed = now
			return i, true
		}
	}
	// After others were silent, one that is not known may be so, too.
	silence := now.Sub(lastMissed(known))
	if now.Sub(c.probed) < probePause || silence < suspectPause || isUrgent && silence < 2*maxAvoid {
		return current, false
	}
	for i, r := range known {
		if i != current && r.isUsable(known, isUrgent, now) && r.standing(isUrgent, now) == unknown {
			c.probed = now
			return i, true
		}
	}
	return current, false
}

// better returns the index of the candidate that should replace the current one because it gets
// more of the refill; -1 if there is none.
func better(known []*reachability, current int, isUrgent bool, now time.Time) int {
	best := -1
	for i, r := range known {
		if i == current || !r.isUsable(known, isUrgent, now) {
			continue
		}
		factor := largerBy
		if i < current {
			factor = lessBy
		}
		s := r.standing(isUrgent, now)
		isBetter := s == major || s == minor && known[current].share > 0 && r.share >= factor*known[current].share
		if isBetter && (best < 0 || r.share > known[best].share) {
			best = i
		}
	}
	return best
}

// isUsable reports whether the candidate may be asked while another one answers. One that did
// not answer before is not asked while an operation waits, or within suspectPause of another
// one.
func (r *reachability) isUsable(known []*reachability, isUrgent bool, now time.Time) bool {
	if now.Before(r.avoidUntil) {
		return false
	}
	return !r.isSuspect() || !isUrgent && now.Sub(lastMissed(known)) >= suspectPause
}

// chooseAnew chooses a candidate without a current one that answers: the one that gets most of
// the refill, as far as is known, or the first one.
func chooseAnew(known []*reachability, isUrgent bool, now time.Time) (chosen int, isProbe bool) {
	first := [...]int{unknown: -1, young: -1, minor: -1, major: -1}
	suspect := -1
	for i, r := range known {
		if !r.isUsable(known, isUrgent, now) {
			if suspect < 0 && !now.Before(r.avoidUntil) {
				suspect = i
			}
			continue
		}
		s := r.standing(isUrgent, now)
		if first[s] < 0 || s == minor && r.share > known[first[s]].share {
			first[s] = i
		}
	}
	order := []int{first[major], first[minor], first[unknown], first[young]}
	if first[young] >= 0 && first[young] < first[unknown] {
		order[2], order[3] = first[young], first[unknown]
	}
	if i := first[minor]; i >= 0 && known[i].share < usedShare {
		// After others were silent, one that is not known may be so, too. While an operation
		// waits, and within suspectPause, one that answers is asked instead.
		silence := now.Sub(lastMissed(known))
		if usesMinor := isUrgent && silence < 2*maxAvoid || silence < suspectPause; !usesMinor {
			order = append(order[:1:1], order[2], order[3], i)
		}
	}
	for _, i := range append(order, suspect) {
		if i >= 0 {
			return i, known[i].isSuspect()
		}
	}
	return -1, false
}
