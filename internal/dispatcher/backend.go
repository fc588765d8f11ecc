package dispatcher

import (
	"errors"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// latencyWeight is the weight of a new sample in the moving average of the
	// latency: about the last ten answers count.
	latencyWeight = 0.2
	// avoidAfterRefusal is how long a server is avoided whose queue was full: about
	// the time of the requests in it.
	avoidAfterRefusal = 100 * time.Millisecond
	// avoidAfterFailure is how long an unreachable server is avoided: until it has
	// had time to come back or to be taken off the list.
	avoidAfterFailure = time.Second
	// behindMemory is how long a replica counts as behind after it did not cover a
	// position.
	behindMemory = 300 * time.Millisecond
	// waitMemory is how long the wait of a request of this instance counts. It makes up
	// for reports of gateways that do not arrive.
	waitMemory = time.Second
)

// backend is one backend server as this instance uses it.
type backend struct {
	*linker.Pool
	limiter *admitter.Limiter
	id      string
	// writes are the unanswered requests that change data.
	writes outstanding
	// exchanges are all unanswered requests.
	exchanges outstanding

	mu     sync.Mutex
	server informer.Server
	// gateways hold the connections to the server, in the order in which they
	// are used; rank is the place of this instance among them, -1 if it is none.
	gateways []*gateway
	rank     int
	// inFlight counts the requests of this instance that run or wait.
	inFlight int
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
	health    health
	// evidence is what answers to reads show of the server.
	evidence evidence
}

// usesGateways reports whether work for the server goes through its gateways,
// of which this instance may be one.
func (b *backend) usesGateways() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.gateways) > 0
}

// isGateway reports whether this instance is a gateway of the server.
func (b *backend) isGateway() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rank >= 0
}

// checkAdmission returns why a request should not wait for a connection of this
// instance; nil if it may.
func (b *backend) checkAdmission(now time.Time, cr connRequest) error {
	load := b.load(cr)
	switch {
	case b.isSilent(now):
		return errSilent
	case cr.isWrite && b.writes.isStalled(now):
		return errStalled
	case !load.Admits(cr.remaining, cr.waitDeadline.Sub(now)):
		return b.overload(cr)
	}
	return nil
}

// acquire waits for a slot and a connection of this instance, or returns why the
// request should not wait. The function releaseSlot frees the slot.
func (b *backend) acquire(now time.Time, cr connRequest) (c *linker.Conn, releaseSlot func(), err error) {
	if err := b.checkAdmission(now, cr); err != nil {
		return nil, nil, err
	}
	slot, err := b.limiter.Acquire(cr.urgency(), cr.waitDeadline, placer.SlotTimeout(b.meanLatency()))
	if errors.Is(err, admitter.ErrLeft) {
		return nil, nil, errCallerLeft
	}
	if err != nil {
		return nil, nil, errors.Join(b.overload(cr), err)
	}
	c, err = b.Pool.Acquire(cr.linkerRequest())
	if err == nil {
		return c, slot.Release, nil
	}
	slot.Cancel()
	switch {
	case errors.Is(err, linker.ErrLeft):
		err = errCallerLeft
	case errors.Is(err, linker.ErrNoConn):
		err = errors.Join(b.overload(cr), err)
	}
	return nil, nil, err
}

// overload returns the refusal of a request that waited in vain, with the wait that it
// would find now.
func (b *backend) overload(cr connRequest) overload {
	return overload{max(b.load(cr).Wait(), time.Microsecond)}
}

// acquireSlotNow takes a slot for the next statement of an open transaction.
func (b *backend) acquireSlotNow(u admitter.Urgency) (releaseSlot func()) {
	return b.limiter.AcquireNowFor(u, placer.SlotTimeout(b.meanLatency())).Release
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

// observe records how an exchange went.
func (b *backend) observe(now time.Time, took time.Duration, code exchanger.Code, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err != nil:
		b.health.recordFailure()
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
	b.health.recordAnswer(now)
}

// observeWait records how long a request waited, or would have waited, for a slot.
func (b *backend) observeWait(now time.Time, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wait, b.waitedAt = wait, now
}

// recentWait returns the last observed wait unless it is too old. The caller holds mu.
func (b *backend) recentWait(now time.Time) time.Duration {
	if now.Sub(b.waitedAt) > waitMemory {
		return 0
	}
	return b.wait
}

// observeDial records the outcome of an attempt to connect.
func (b *backend) observeDial(now time.Time, err error) {
	var refused *exchanger.RefusedError
	switch {
	case err == nil:
		b.recordAnswer(now)
	case errors.As(err, &refused):
		b.observe(now, 0, refused.Code, nil)
	default:
		b.observe(now, 0, exchanger.Success, err)
	}
}

// recordBehind records that the replica did not cover a position of the given age.
func (b *backend) recordBehind(now time.Time, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behindAge, b.behindAt = age, now
}

func (b *backend) lackedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behindAt
}

func (b *backend) recordAnswer(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health.recordAnswer(now)
}

func (b *backend) currentHealth() health {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health
}

func (b *backend) candidate(now time.Time, zone, primary string, minPositionAge time.Duration) placer.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return placer.Candidate{
		SameZone:   b.server.Zone == zone,
		Primary:    b.id == primary,
		ViaGateway: len(b.gateways) > 0,
		Avoid:      b.server.Draining || !b.server.MissingSince.IsZero() || now.Before(b.avoid),
		Behind:     b.id != primary && now.Sub(b.behindAt) < behindMemory && minPositionAge <= b.behindAge,
		InFlight:   b.inFlight,
		Slots:      b.server.Slots,
		Latency:    b.latency,
		Wait:       b.recentWait(now),
	}
}

func (b *backend) meanLatency() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency
}

// load returns how busy the connections to the server are, as a request finds it.
func (b *backend) load(cr connRequest) placer.Load {
	open, idle, waiting := b.Stats()
	slots := b.limiter.Stats(cr.urgency())
	b.mu.Lock()
	defer b.mu.Unlock()
	return placer.Load{
		Open: open, Idle: idle, Waiting: waiting, Limit: b.Limit(), Latency: b.latency,
		Slots: slots.Limit, Running: slots.Running, QueuedAhead: slots.QueuedAhead, Overtakers: slots.Overtakers,
	}
}

// isSilent reports whether requests are unanswered and the server has answered
// nothing for a while. A server that is only slow still answers now and then.
func (b *backend) isSilent(now time.Time) bool {
	if !b.exchanges.isStalled(now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.health.answered) > stallTimeout
}
