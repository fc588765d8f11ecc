package placer

import "time"

const (
	// minRetryDelay is the shortest time that a refusal names: a few requests of the queue
	// end within it.
	minRetryDelay = 50 * time.Millisecond
	// maxRetryDelay is the longest estimate that counts. Estimates for servers that stand
	// still have no limit, and a change of primary may end the shortage earlier.
	maxRetryDelay = 5 * time.Second
)

// Refusal describes a refused request of which nothing ran.
type Refusal struct {
	// Estimates are the times until the request could be served, by what is known of each
	// server that could do it. The earliest one counts.
	Estimates []time.Duration
	// Patience is how much longer the caller is known to wait: the rest of the timeout of
	// its statement.
	Patience time.Duration
	// Interval is in what time the servers can run one more of the requests that this
	// instance refuses; see [ReturnInterval].
	Interval time.Duration
}

// ReturnInterval returns in what time the servers with that many slots can run one request
// of each instance. It assumes that the other instances refuse as many requests as this
// one: each sees a part of the callers of a service, and none knows what the others refuse.
func ReturnInterval(instances, slots int, latency time.Duration) time.Duration {
	if latency <= 0 {
		latency = assumedLatency
	}
	return latency * time.Duration(max(instances, 1)) / time.Duration(max(slots, 1))
}

// Returns decides when the callers come back whose requests an instance refused at a
// service. It answers a burst: if all who are refused came back when the queue is expected
// to be short enough, they would be the next burst. Each caller gets a place of its own,
// one interval after the last one, so the delay rises while requests are refused again and
// falls as time passes without refusals. It does no locking.
type Returns struct {
	// next is the earliest return time not yet assigned.
	next time.Time
}

// Book returns after what time the caller of the refused request should come back. It is
// not earlier than the first estimate, and not later than the caller's patience if the
// request could be served before its end: callers that find no place before come back at
// any time before. Those that cannot come back in time take no place from others. Random is
// in [0, 1).
func (r *Returns) Book(now time.Time, f Refusal, random float64) time.Duration {
	least := time.Duration(maxRetryDelay)
	for _, e := range f.Estimates {
		least = min(least, e)
	}
	least = max(least, minRetryDelay)
	horizon := f.Patience
	if least >= horizon {
		horizon = maxRetryDelay * 3 / 2
	}
	place := max(least, r.next.Sub(now))
	if place >= horizon {
		return least + time.Duration(random*float64(horizon-least))
	}
	if place < f.Patience {
		r.next = now.Add(place + f.Interval)
	}
	// The estimate is inexact in proportion to its length, and callers of other instances
	// have the same one.
	spread := min(max(f.Interval, least/2), horizon-place)
	return place + time.Duration(random*float64(spread))
}

// IsOver reports whether all places that were handed out are in the past.
func (r *Returns) IsOver(now time.Time) bool { return !r.next.After(now) }

// OutageLeft returns how much longer an outage is expected to last that has lasted for the
// given time: up to what is usual if that is known, and otherwise, or after that, as long
// again as it has lasted without being expected to. So the callers of an outage with an
// unknown end come back after times that double.
func OutageLeft(elapsed, usual time.Duration) time.Duration {
	return max(elapsed-usual, usual-elapsed, minRetryDelay)
}
