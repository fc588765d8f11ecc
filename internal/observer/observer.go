package observer

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

const (
	// latencyWeight is the weight of a new sample in the moving average of the
	// latency: about the last ten answers count.
	latencyWeight = 0.2
	// AvoidAfterRefusal is how long a server is avoided whose queue was full: about
	// the time of the requests in it.
	AvoidAfterRefusal = 100 * time.Millisecond
	// avoidAfterFailure is how long an unreachable server is avoided: until it has
	// had time to come back or to be taken off the list.
	avoidAfterFailure = time.Second
	// waitMemory is how long the wait of a request of this instance counts. It makes up
	// for reports of gateways that do not arrive.
	waitMemory = time.Second
)

// Observer records how one server answers this instance. The zero value is ready for use.
type Observer struct {
	// Writes are the unanswered requests that change data.
	Writes Outstanding
	// Exchanges are all unanswered requests.
	Exchanges Outstanding
	// isAskedForPosition is set while a query for the server's position is under way.
	isAskedForPosition atomic.Bool

	mu sync.Mutex
	// latency is the moving average of the time of a request; 0 if none is known.
	latency time.Duration
	// wait is how long the last request waited for a slot, and waitedAt when that was.
	wait     time.Duration
	waitedAt time.Time
	// avoid is until when the server is avoided.
	avoid time.Time
	// behindAge is the age of the position that the replica did not cover, and
	// behindAt when that was.
	behindAge time.Duration
	behindAt  time.Time
	health    Health
	// passedOverAt is when a read was last not tried at the server because it lacks what
	// the read needs.
	passedOverAt time.Time
	// ranReadAt is when the server last answered a caller's read.
	ranReadAt time.Time
	// progress is how far the server has applied the log.
	progress progress
}

// Observe records how an exchange went.
func (o *Observer) Observe(now time.Time, took time.Duration, code exchanger.Code, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil:
		o.health.RecordFailure()
		o.avoid = now.Add(avoidAfterFailure)
		return
	case code == exchanger.Busy || code == exchanger.TooManyConnections:
		o.avoid = now.Add(AvoidAfterRefusal)
	case code == exchanger.Success:
		if o.latency == 0 {
			o.latency = took
		}
		o.latency += time.Duration(latencyWeight * float64(took-o.latency))
	}
	o.health.RecordAnswer(now)
}

// ObserveDial records the outcome of an attempt to connect.
func (o *Observer) ObserveDial(now time.Time, err error) {
	var refused *exchanger.RefusedError
	switch {
	case err == nil:
		o.RecordAnswer(now)
	case errors.As(err, &refused):
		o.Observe(now, 0, refused.Code, nil)
	default:
		o.Observe(now, 0, exchanger.Success, err)
	}
}

// RecordAnswer records that the server answered.
func (o *Observer) RecordAnswer(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.health.RecordAnswer(now)
}

// Health returns how the server has answered.
func (o *Observer) Health() Health {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.health
}

// IsAvoided reports whether the server recently refused or failed a request.
func (o *Observer) IsAvoided(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.avoid)
}

// MeanLatency returns the moving average of the time of a request, without its wait for a
// slot; 0 if none is known.
func (o *Observer) MeanLatency() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latency
}

// ObserveWait records how long a request waited, or would have waited, for a slot.
func (o *Observer) ObserveWait(now time.Time, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wait, o.waitedAt = wait, now
}

// RecentWait returns the last observed wait unless it is too old.
func (o *Observer) RecentWait(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.waitedAt) > waitMemory {
		return 0
	}
	return o.wait
}

// IsSilent reports whether requests are unanswered and the server has answered
// nothing for a while. A server that is only slow still answers now and then.
func (o *Observer) IsSilent(now time.Time) bool {
	if !o.Exchanges.IsStalled(now) {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.health.Answered) > StallTimeout
}
