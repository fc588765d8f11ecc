package placer

import (
	"time"

	"marigoldhub.example/hub/internal/admitter"
)

// Load is how busy this instance's connections to a server are.
type Load struct {
	// Open is the number of open connections, Idle how many of them are idle, and
	// Waiting the number of requests that wait for one.
	Open, Idle, Waiting int
	// Limit is how many connections may be open.
	Limit int
	// Slots is how many requests may run at the server at a time, 0 when that is
	// not limited. Running is how many slots are taken, and QueuedAhead how many
	// waiting requests get a slot before a new one.
	Slots, Running, QueuedAhead int
	// Overtakers will arrive later and get a slot before the new request.
	Overtakers []admitter.Overtakers
	// Latency is the mean time of a request at the server.
	Latency time.Duration
}

// Wait estimates how long a new request waits before it is sent.
func (l Load) Wait() time.Duration { return max(l.connectionWait(), l.slotWait()) }

func (l Load) slotWait() time.Duration {
	if l.Running < l.Slots || l.Slots == 0 {
		return 0
	}
	// Requests that overtake the new one lengthen its wait, and more of them arrive the
	// longer it waits. Each round adds those of the wait found so far; with more than
	// the server can run, the wait grows in each round.
	perRequest := float64(l.Latency) / float64(l.Slots)
	ahead := float64(l.QueuedAhead + 1)
	wait := perRequest * ahead
	for range overtakingRounds {
		overtaking := 0.0
		for _, o := range l.Overtakers {
			overtaking += o.Rate * min(time.Duration(wait), o.For).Seconds()
		}
		// Without the bound, the wait at a server with several times the load that it can
		// run exceeds the range of a duration.
		wait = min(perRequest*(ahead+overtaking), float64(maxWait))
	}
	return time.Duration(wait)
}

const (
	// overtakingRounds is enough for the estimate to come within a tenth of its limit
	// while more urgent requests take up to nine tenths of the server.
	overtakingRounds = 24
	// maxWait bounds the estimate; no request waits that long.
	maxWait = time.Minute
)

func (l Load) connectionWait() time.Duration {
	if l.Idle > 0 || l.Open == 0 {
		return 0
	}
	return l.Latency * time.Duration(l.Waiting+1) / time.Duration(l.Open)
}

// Admits reports whether a request may wait at the server. Remaining is the time
// until its answer is too late, which covers the wait and the execution; maxWait
// limits the wait alone. Admits limits the effect of an overload of one server,
// such as a primary whose replicas are all behind: requests that would be late or
// give up anyway are refused at once, so that the admitted ones are answered in time.
func (l Load) Admits(remaining, maxWait time.Duration) bool {
	w := l.Wait()
	return w == 0 || w <= maxWait && w+l.Latency <= remaining
}
