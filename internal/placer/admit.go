package placer

import "time"

// Load is how busy this instance's connections to a server are.
type Load struct {
	// Open connections, Idle ones among them, and requests that Wait for one.
	Open, Idle, Waiting int
	// Limit is how many connections may be open.
	Limit int
	// Slots is how many requests may run at the server at a time, 0 when that is
	// not limited; Active of them are taken, and requests Before a new one wait.
	Slots, Running, QueuedAhead int
	// Latency is the mean time of a request at the server.
	Latency time.Duration
}

// Wait estimates how long a new request waits until it is sent.
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

// Admits reports whether a request that has the time left, and may wait for part
// of it, may wait at the server. It answers an overload of one server, such as a
// primary whose replicas are all behind: requests that would be late or give up
// anyway are refused at once, and the others are in time.
func (l Load) Admits(remaining, maxWait time.Duration) bool {
	w := l.Wait()
	return w == 0 || w <= maxWait && w+l.Latency <= remaining
}
