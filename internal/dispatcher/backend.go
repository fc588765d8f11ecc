package dispatcher

import (
	"errors"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// latencyWeight is the weight of a new sample in the mean: about the last
	// ten answers count.
	latencyWeight = 0.2
	// avoidAfterRefusal spares a server whose queue was full for about the time
	// of the requests in it.
	avoidAfterRefusal = 100 * time.Millisecond
	// avoidAfterFailure spares a server that could not be reached until it has
	// had time to come back or to be taken off the list.
	avoidAfterFailure = time.Second
	// behindMemory is how long a replica counts as behind after it lacked a
	// position.
	behindMemory = 300 * time.Millisecond
)

// backend is one backend server as this instance uses it.
type backend struct {
	*linker.Pool
	id     string
	writes acknowledgements
	// exchanges are the requests that are sent and not answered.
	exchanges acknowledgements

	mu       sync.Mutex
	server   informer.Server
	scarce   bool
	inFlight int
	latency  time.Duration
	avoid    time.Time
	// behindAge is the age of the position that the replica lacked.
	behindAge time.Duration
	behindAt  time.Time
	answered  time.Time
	failures  int
}

// acquire takes a link and counts the request.
func (b *backend) acquire(priority int, deadline time.Time, values map[string]string) (*linker.Link, error) {
	b.mu.Lock()
	b.inFlight++
	b.mu.Unlock()
	l, err := b.Pool.Acquire(priority, deadline, values)
	if err != nil {
		b.mu.Lock()
		b.inFlight--
		b.mu.Unlock()
	}
	return l, err
}

func (b *backend) release(l *linker.Link, atRest bool) {
	b.mu.Lock()
	b.inFlight--
	b.mu.Unlock()
	b.Pool.Release(l, atRest)
}

// observe takes what an exchange shows of the server.
func (b *backend) observe(now time.Time, took time.Duration, code exchanger.Code, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err != nil:
		b.failures++
		b.avoid = now.Add(avoidAfterFailure)
		return
	case code == exchanger.Busy || code == exchanger.TooManyConnections:
		b.avoid = now.Add(avoidAfterRefusal)
	case code == exchanger.Success:
		if b.latency == 0 {
			b.latency = took
		}
		b.latency += time.Duration(latencyWeight * float64(took-b.latency))
	}
	b.answered, b.failures = now, 0
}

// observeDial takes the outcome of an attempt to connect.
func (b *backend) observeDial(now time.Time, err error) {
	var refused *exchanger.RefusedError
	switch {
	case err == nil:
		b.mu.Lock()
		b.answered, b.failures = now, 0
		b.mu.Unlock()
	case errors.As(err, &refused):
		b.observe(now, 0, refused.Code, nil)
	default:
		b.observe(now, 0, exchanger.Success, err)
	}
}

// lacked records that the replica did not cover a position of the age.
func (b *backend) lacked(now time.Time, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behindAge, b.behindAt = age, now
}

// health returns when the server last answered, and the failures since.
func (b *backend) health() (answered time.Time, failures int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answered, b.failures
}

func (b *backend) candidate(now time.Time, zone, leader string, floorAge time.Duration) placer.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return placer.Candidate{
		Near:     b.server.Zone == zone,
		Leader:   b.id == leader,
		Scarce:   b.scarce,
		Avoid:    b.server.Draining || !b.server.MissingSince.IsZero() || now.Before(b.avoid),
		Behind:   b.id != leader && now.Sub(b.behindAt) < behindMemory && floorAge <= b.behindAge,
		InFlight: b.inFlight,
		Slots:    b.server.Slots,
		Latency:  b.latency,
	}
}

// load returns how busy the connections to the server are.
func (b *backend) load() placer.Load {
	open, idle, waiting := b.Stats()
	b.mu.Lock()
	defer b.mu.Unlock()
	return placer.Load{Open: open, Idle: idle, Waiting: waiting, Limit: b.Limit(), Latency: b.latency}
}

// isSilent reports whether requests wait for answers and the server has given
// none for a while. A slow server still answers now and then.
func (b *backend) isSilent(now time.Time) bool {
	if !b.exchanges.isStalled(now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.answered) > stallAfter
}
