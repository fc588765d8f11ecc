package dispatcher

import (
	"errors"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/observer"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/selector"
)

// backend is one backend server as this instance uses it.
type backend struct {
	*linker.Pool
	// Observer records how the server answers.
	observer.Observer
	// Ranking holds the gateways of the server.
	selector.Ranking
	limiter *admitter.Limiter
	id      string

	mu     sync.Mutex
	server informer.Server
	// inFlight counts the requests of this instance that run or wait.
	inFlight int
}

// checkAdmission returns why a request should not wait for a connection of this
// instance; nil if it may.
func (b *backend) checkAdmission(now time.Time, cr connRequest) error {
	load := b.load(cr)
	switch {
	case b.IsSilent(now):
		return errSilent
	case cr.isWrite && b.Writes.IsStalled(now):
		return errStalled
	case !load.Admits(cr.remaining, cr.waitDeadline.Sub(now)):
		return overload{max(load.Wait(), time.Microsecond)}
	}
	return nil
}

// acquire waits for a slot and a connection of this instance, or returns why the
// request should not wait. The function releaseSlot frees the slot.
func (b *backend) acquire(now time.Time, cr connRequest) (c *linker.Conn, releaseSlot func(), err error) {
	if err := b.checkAdmission(now, cr); err != nil {
		return nil, nil, err
	}
	releaseSlot, err = b.limiter.Acquire(cr.urgency(), cr.waitDeadline, placer.SlotTimeout(b.MeanLatency()))
	if errors.Is(err, admitter.ErrLeft) {
		return nil, nil, errCallerLeft
	}
	if err != nil {
		return nil, nil, errors.Join(errOverloaded, err)
	}
	c, err = b.Pool.Acquire(cr.linkerRequest())
	if err == nil {
		return c, releaseSlot, nil
	}
	releaseSlot()
	switch {
	case errors.Is(err, linker.ErrLeft):
		err = errCallerLeft
	case errors.Is(err, linker.ErrNoConn):
		err = errors.Join(errOverloaded, err)
	}
	return nil, nil, err
}

// acquireSlotNow takes a slot for the next statement of an open transaction.
func (b *backend) acquireSlotNow(u admitter.Urgency) (releaseSlot func()) {
	return b.limiter.AcquireNowFor(u, placer.SlotTimeout(b.MeanLatency()))
}

// runInSlot runs the next statement of an open transaction on a connection of this
// instance.
func (b *backend) runInSlot(u admitter.Urgency, run func() ([]exchanger.Answer, error)) ([]exchanger.Answer, error) {
	defer b.acquireSlotNow(u)()
	return run()
}

func (b *backend) addInFlight(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight += n
}

// release returns a connection of either kind. It is reused only if it is idle.
func (b *backend) release(c conn, isIdle bool) {
	b.addInFlight(-1)
	switch c := c.(type) {
	case *linker.Conn:
		b.Pool.Release(c, isIdle)
	case *forwardedConn:
		c.release(isIdle)
	}
}

func (b *backend) candidate(now time.Time, zone, primary string, minPositionAge time.Duration) placer.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return placer.Candidate{
		SameZone:   b.server.Zone == zone,
		Primary:    b.id == primary,
		ViaGateway: b.UsesGateways(),
		Avoid:      b.server.Draining || !b.server.MissingSince.IsZero() || b.IsAvoided(now),
		Behind:     b.id != primary && b.IsBehind(now, minPositionAge),
		InFlight:   b.inFlight,
		Slots:      b.server.Slots,
		Latency:    b.MeanLatency(),
		Wait:       b.RecentWait(now),
	}
}

// load returns how busy the connections to the server are, as a request finds it.
func (b *backend) load(cr connRequest) placer.Load {
	open, idle, waiting := b.Stats()
	slots := b.limiter.Stats(cr.urgency())
	return placer.Load{
		Open: open, Idle: idle, Waiting: waiting, Limit: b.Limit(), Latency: b.MeanLatency(),
		Slots: slots.Limit, Running: slots.Running, QueuedAhead: slots.QueuedAhead, Overtakers: slots.Overtakers,
	}
}
