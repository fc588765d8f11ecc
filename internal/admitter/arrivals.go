package admitter

import (
	"math"
	"time"
)

const (
	// arrivalMemory is the time constant of the arrival rates: long enough to count some
	// tens of requests at a busy server, short enough to follow a burst.
	arrivalMemory = time.Second
	// allowanceStep is the width of the classes of allowances.
	allowanceStep = 50 * time.Millisecond
	// maxClasses bounds the classes; requests of further ones are not counted.
	maxClasses = 32
	// maxSenders bounds the teams whose arrivals are counted; further ones count as
	// within their shares.
	maxSenders = 256
	// leastCount is the decayed count below which a class or team is forgotten.
	leastCount = 0.01
)

// class groups requests that are equally urgent when they arrive at the same time.
type class struct {
	priority int
	// allowance is the time from the arrival until the request is due, in steps.
	allowance time.Duration
}

func classOf(u Urgency, now time.Time) class {
	return class{u.Priority, u.Due.Sub(now).Round(allowanceStep)}
}

// sender is a team at a priority.
type sender struct {
	priority int
	team     string
}

// arrivals measures the rates at which requests of each class arrive, and of each team. It
// does no locking.
type arrivals struct {
	classes map[class]float64
	senders map[sender]float64
	// updated is when the counts were last decayed.
	updated time.Time
}

func newArrivals(now time.Time) arrivals {
	return arrivals{classes: map[class]float64{}, senders: map[sender]float64{}, updated: now}
}

// decay reduces the counts by the time that has passed and forgets those of which
// hardly any request has come.
func (a *arrivals) decay(now time.Time) {
	passed := now.Sub(a.updated)
	if passed <= 0 {
		return
	}
	a.updated = now
	factor := math.Exp(-float64(passed) / float64(arrivalMemory))
	decayAll(a.classes, factor)
	decayAll(a.senders, factor)
}

func decayAll[K comparable](counts map[K]float64, factor float64) {
	for k, n := range counts {
		if n *= factor; n < leastCount {
			delete(counts, k)
		} else {
			counts[k] = n
		}
	}
}

func (a *arrivals) add(u Urgency, now time.Time) {
	a.decay(now)
	addTo(a.classes, classOf(u, now), maxClasses)
	if u.Team != "" {
		addTo(a.senders, sender{u.Priority, u.Team}, maxSenders)
	}
}

// addTo counts an arrival unless there are too many others.
func addTo[K comparable](counts map[K]float64, k K, limit int) {
	if _, known := counts[k]; known || len(counts) < limit {
		counts[k]++
	}
}

// Overtakers are requests that arrive later than a waiting one and get a slot before
// it.
type Overtakers struct {
	// Rate is how many arrive in a second.
	Rate float64
	// For is how long after the waiting request they still get before it.
	For time.Duration

	priority int
}

// overtakersOf returns the requests that will overtake one that arrives now. Those of
// teams above their share do not, unless its own team is above it, too. In that case the
// others overtake it until their accounts have come up to that of its team.
func (l *Limiter) overtakersOf(u Urgency, now time.Time) []Overtakers {
	l.arrivals.decay(now)
	own := classOf(u, now)
	within := 1 - l.partAbove(u)
	catchUp := l.catchUpTime(u)
	var out []Overtakers
	for c, n := range l.arrivals.classes {
		o := Overtakers{Rate: n / arrivalMemory.Seconds(), For: math.MaxInt64, priority: c.priority}
		if c.priority == own.priority {
			o.For = max(own.allowance-c.allowance, catchUp)
			o.Rate *= within
		}
		if c.priority <= own.priority && o.For > 0 && o.Rate > 0 {
			out = append(out, o)
		}
	}
	return out
}

// partAbove returns the part of the arrivals at the request's priority that teams send
// which are above their share, its own team left out.
func (l *Limiter) partAbove(u Urgency) float64 {
	all, above := 0.0, 0.0
	for s, n := range l.arrivals.senders {
		if s.priority != u.Priority {
			continue
		}
		all += n
		if lead, _ := l.queue.Lead(s.priority, s.team); lead > 0 && s.team != u.Team {
			above += n
		}
	}
	if all == 0 {
		return 0
	}
	return above / all
}

// catchUpTime returns how long the other teams need until the request's team is no longer
// above its share: the slots' time is divided among all of them. It is 0 within the share.
func (l *Limiter) catchUpTime(u Urgency) time.Duration {
	lead, teams := l.queue.Lead(u.Priority, u.Team)
	return lead * time.Duration(teams) / time.Duration(l.limit)
}
