package dispatcher

import (
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/placer"
)

// returnKey names the requests that share the places of those who return. Less urgent ones do
// not keep more urgent ones from a server, so each priority has its own.
type returnKey struct {
	service  string
	priority int
}

// returns hold when the callers come back whose requests this instance refused. It is safe
// for concurrent use.
type returns struct {
	mu    sync.Mutex
	byKey map[returnKey]*placer.Returns
	// sweepAt is the number of keys at which those without places are forgotten.
	sweepAt int
}

// book returns after what time the caller of a refused request should come back.
func (r *returns) book(now time.Time, key returnKey, f placer.Refusal) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil {
		r.byKey = map[returnKey]*placer.Returns{}
	}
	if len(r.byKey) > r.sweepAt {
		maps.DeleteFunc(r.byKey, func(_ returnKey, other *placer.Returns) bool { return other.IsOver(now) })
		r.sweepAt = 2*len(r.byKey) + 16
	}
	if r.byKey[key] == nil {
		r.byKey[key] = &placer.Returns{}
	}
	return r.byKey[key].Book(now, f, rand.Float64())
}

// slots returns how many requests the server runs at a time.
func (b *backend) slots() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slotsOf(b.server)
}

// refuseWithTime refuses a request of which nothing ran and tells the caller when to come
// back, if there is an estimate. The servers are those that could run it.
func (d *Dispatcher) refuseWithTime(req Request, reason string, err error, servers []*backend, estimates ...time.Duration) exchanger.Answer {
	if len(estimates) == 0 {
		return d.refuse(req, exchanger.Busy, reason, err)
	}
	now := d.cfg.Clock.Now()
	slots, latency := 0, time.Duration(0)
	for _, b := range servers {
		slots += b.slots()
		latency = max(latency, b.meanLatency())
	}
	after := d.returns.book(now, returnKey{req.Route.Service, req.Route.Priority}, placer.Refusal{
		Estimates: estimates, Patience: req.deadline(req.Received).Sub(now),
		Interval: placer.ReturnInterval(len(d.cfg.Instances()), slots, latency),
	})
	d.count.refusalsWithTime.Inc(1)
	return d.refuseUntil(req, reason, err, after)
}

// refuseAtPrimary refuses a request that only the primary could run. Allowed is how long
// such a request may wait there.
func (d *Dispatcher) refuseAtPrimary(req Request, reason string, err error, allowed time.Duration) exchanger.Answer {
	var servers []*backend
	g := d.Group(req.Route.Service)
	l, _ := g.Leader()
	b := d.backend(l.Server.ID)
	if b != nil {
		servers = append(servers, b)
	}
	return d.refuseWithTime(req, reason, err, servers, d.estimatesAtPrimary(g, b, err, allowed)...)
}

// estimatesAtPrimary returns in what time the primary is expected to run a request that
// the error refused: when its queue is short enough, when a primary is known, or when its
// commits are confirmed again. There is no estimate if nothing is known of it. B is nil
// while no primary is known.
func (d *Dispatcher) estimatesAtPrimary(g *attester.Group, b *backend, err error, allowed time.Duration) []time.Duration {
	now := d.cfg.Clock.Now()
	var o overload
	var since time.Time
	elapsed, usual, isMissing := g.Outage()
	switch {
	case isMissing:
		return []time.Duration{placer.OutageLeft(elapsed, usual)}
	case errors.As(err, &o) && o.wait > 0:
		return []time.Duration{o.wait - allowed}
	case errors.Is(err, errRefused), errors.Is(err, errNoRetries), errors.Is(err, errOverloaded):
		return []time.Duration{avoidAfterRefusal}
	case b == nil:
		return nil
	case errors.Is(err, errStalled):
		since, _ = b.writes.oldest()
	case errors.Is(err, errSilent), errors.Is(err, errNotSent):
		since = b.currentHealth().answered
	case errors.Is(err, attester.ErrNotConfirmed):
		if s, ok := g.LatestSample(); ok {
			since = s.At
		}
	default:
		return nil
	}
	if since.IsZero() {
		// The gateway has noticed it, which takes that long.
		since = now.Add(-stallTimeout)
	}
	return []time.Duration{placer.OutageLeft(now.Sub(since), 0)}
}
