package placer

import "time"

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
	// Latency is the mean time of a request at the server.
	Latency time.Duration
}

// Wait estimates how long a new request waits before it is sent.
func (l Load) Wait() time.Duration { return max(l.connectionWait(), l.slotWait()) }

func (l Load) slotWait() time.Duration {
	if l.Running < l.Slots || l.Slots == 0 {
		return 0
	}
	return l.Latency * time.Duration(l.QueuedAhead+1) / time.Duration(l.Slots)
}

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
