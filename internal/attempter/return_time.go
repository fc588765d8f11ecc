package attempter

import (
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/observer"
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

// RefuseWithTime refuses a request of which nothing ran and tells the caller when to come
// back, if there is an estimate and the caller waits for the answer. The servers are those
// that could run it.
func (t *Attempter) RefuseWithTime(req Request, reason string, err error, servers []*connector.Backend, estimates ...time.Duration) exchanger.Answer {
	if len(estimates) == 0 || errors.Is(err, connector.ErrCallerLeft) {
		return t.refuse(req, exchanger.Busy, reason, err)
	}
	now := t.cfg.Clock.Now()
	slots, latency := 0, time.Duration(0)
	for _, b := range servers {
		slots += b.Slots()
		latency = max(latency, b.MeanLatency())
	}
	after := t.returns.book(now, returnKey{req.Route.Service, req.Route.Priority}, placer.Refusal{
		Estimates: estimates, Patience: req.Deadline(req.Received).Sub(now),
		Interval: placer.ReturnInterval(len(t.cfg.Instances()), slots, latency),
	})
	t.count.refusalsWithTime.Inc(1)
	return t.refuseUntil(req, reason, err, after)
}

// RefuseAtPrimary refuses a request that only the primary could run. Allowed is how long
// such a request may wait there.
func (t *Attempter) RefuseAtPrimary(req Request, reason string, err error, allowed time.Duration) exchanger.Answer {
	var servers []*connector.Backend
	g := t.cfg.Groups.Group(req.Route.Service)
	l, _ := g.Leader()
	b := t.cfg.Backends.Backend(l.Server.ID)
	if b != nil {
		servers = append(servers, b)
	}
	return t.RefuseWithTime(req, reason, err, servers, t.estimatesAtPrimary(g, b, err, allowed)...)
}

// estimatesAtPrimary returns in what time the primary is expected to run a request that
// the error refused: when its queue is short enough, when a primary is known, or when its
// commits are confirmed again. There is no estimate if nothing is known of it. B is nil
// while no primary is known.
func (t *Attempter) estimatesAtPrimary(g *attester.Group, b *connector.Backend, err error, allowed time.Duration) []time.Duration {
	if elapsed, usual, isMissing := g.Outage(); isMissing {
		return []time.Duration{placer.OutageLeft(elapsed, usual)}
	}
	return estimatesAt(t.cfg.Clock.Now(), b, err, allowed)
}

// estimatesAt is [Attempter.estimatesAtPrimary] while a primary is known.
func estimatesAt(now time.Time, b *connector.Backend, err error, allowed time.Duration) []time.Duration {
	var o connector.Overload
	var since time.Time
	switch {
	case errors.As(err, &o) && o.Wait > 0:
		return []time.Duration{o.Wait - allowed}
	case errors.Is(err, ErrRefused), errors.Is(err, ErrNoRetries), errors.Is(err, connector.ErrOverloaded):
		return []time.Duration{observer.AvoidAfterRefusal}
	case b == nil:
		return nil
	case errors.Is(err, connector.ErrStalled):
		since, _ = b.Writes.Oldest()
	case errors.Is(err, connector.ErrSilent):
		// The last answer may be seconds older than the fault, as no request was sent meanwhile.
		since, _ = b.Exchanges.Oldest()
	case errors.Is(err, connector.ErrDrained):
		// Another primary was needed from then on.
		since, _ = b.DrainedAt()
	case errors.Is(err, ErrNotSent):
		// A closed connection, or a gateway that was not reached, says nothing about the server.
		return []time.Duration{observer.AvoidAfterRefusal}
	case errors.Is(err, attester.ErrNotConfirmed):
	default:
		return nil
	}
	if since.IsZero() {
		// Nothing tells when it began; to notice it takes that long.
		since = now.Add(-observer.StallTimeout)
	}
	return []time.Duration{placer.OutageLeft(now.Sub(since), 0)}
}
