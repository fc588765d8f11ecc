package connector

import (
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/observer"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/selector"
)

// Config holds what a [Backend] needs.
type Config struct {
	// Server is the server's entry in the list.
	Server informer.Server
	// Limits are the connections that this instance may hold.
	Limits linker.Limits
	// Dialer opens connections to servers.
	Dialer exchanger.Dialer
	// DrainLimit is how long a draining server at least goes on accepting work.
	DrainLimit time.Duration
	// OnDial is called after each attempt to connect.
	OnDial func(linker.Dial)
	Clock  clockwork.Clock
}

// Backend is one backend server as this instance uses it.
type Backend struct {
	// ID is the server's name.
	ID string
	*linker.Pool
	// Limiter hands out the slots.
	Limiter *admitter.Limiter
	// Observer records how the server answers.
	observer.Observer
	// Ranking holds the gateways of the server.
	selector.Ranking
	clock      clockwork.Clock
	drainLimit time.Duration

	mu    sync.Mutex
	entry informer.Server
	// inFlight counts the requests of this instance that run or wait.
	inFlight int
}

// New returns a backend without connections.
func New(cfg Config) *Backend {
	slots := slotsOf(cfg.Server)
	b := &Backend{ID: cfg.Server.ID, entry: cfg.Server, clock: cfg.Clock, drainLimit: cfg.DrainLimit, Limiter: admitter.New(slots, placer.QueueLimit(slots, 0), cfg.Clock)}
	b.Pool = linker.NewPool(linker.Config{
		Dialer: dialer{cfg.Dialer, &b.Exchanges, cfg.Clock}, Target: cfg.Server.Target(), Limits: cfg.Limits, Clock: cfg.Clock,
		OnDial: func(dial linker.Dial) {
			b.ObserveDial(cfg.Clock.Now(), dial.Err)
			cfg.OnDial(dial)
		},
	})
	return b
}

// assumedSlots is the number of slots of a server that does not report them.
const assumedSlots = 3

// slotsOf returns how many requests this instance runs at a server at a time: as
// many as the server can. More would wait at the server, whose own queue is first
// in, first out, and refuses requests when it is full.
func slotsOf(srv informer.Server) int {
	if srv.Slots <= 0 {
		return assumedSlots
	}
	return srv.Slots
}

// Entry returns the server's entry in the list.
func (b *Backend) Entry() informer.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entry
}

// SetEntry replaces the server's entry.
func (b *Backend) SetEntry(srv informer.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry = srv
}

// Zone returns the availability zone of the server.
func (b *Backend) Zone() string { return b.Entry().Zone }

// Slots returns how many requests the server runs at a time.
func (b *Backend) Slots() int { return slotsOf(b.Entry()) }

// Resize sets the connections that this instance may hold, and the slots that the server has
// now with the queue that its latency allows.
func (b *Backend) Resize(limits linker.Limits) {
	b.SetLimits(limits)
	slots := b.Slots()
	b.Limiter.SetLimits(slots, placer.QueueLimit(slots, b.MeanLatency()))
}

// checkAdmission returns why a request should not wait for a connection of this
// instance; nil if it may.
func (b *Backend) checkAdmission(now time.Time, r Request) error {
	load := b.Load(r)
	switch {
	case b.refuses(r):
		return ErrDrained
	case b.IsSilent(now):
		return ErrSilent
	case r.IsWrite && b.Writes.IsStalled(now):
		return ErrStalled
	case !load.Admits(r.Remaining, r.WaitDeadline.Sub(now)):
		return b.overload(r)
	}
	return nil
}

// AcquireInSlot waits for a slot and a connection of this instance, or returns why the
// request should not wait. The function releaseSlot frees the slot.
func (b *Backend) AcquireInSlot(now time.Time, r Request) (c *linker.Conn, releaseSlot func(), err error) {
	if err := b.checkAdmission(now, r); err != nil {
		return nil, nil, err
	}
	if at, draining := b.DrainedAt(); draining && !r.IsOwn && at.Before(r.WaitDeadline) {
		r.WaitDeadline = at
	}
	slot, err := b.Limiter.Acquire(r.Urgency(), r.WaitDeadline, placer.SlotTimeout(b.MeanLatency()))
	if errors.Is(err, admitter.ErrLeft) {
		return nil, nil, ErrCallerLeft
	}
	if err != nil {
		return nil, nil, errors.Join(b.overload(r), err)
	}
	c, err = b.AcquireOutOfSlot(r)
	if err == nil {
		return c, slot.Release, nil
	}
	slot.Cancel()
	switch {
	case errors.Is(err, linker.ErrLeft):
		err = ErrCallerLeft
	case errors.Is(err, linker.ErrNoConn):
		// The queue does not explain it if it is empty: no connection can be opened, and
		// nothing tells when that ends.
		refusal := ErrOverloaded
		if b.Load(r).Wait() > 0 {
			refusal = b.overload(r)
		}
		err = errors.Join(refusal, err)
	}
	return nil, nil, err
}

// overload returns the refusal of a request that waited in vain, with the wait that it
// would find now.
func (b *Backend) overload(r Request) Overload {
	return Overload{Wait: max(b.Load(r).Wait(), time.Microsecond)}
}

// AcquireOutOfSlot waits for a connection of this instance without a slot.
func (b *Backend) AcquireOutOfSlot(r Request) (*linker.Conn, error) {
	if b.refuses(r) {
		return nil, ErrDrained
	}
	c, err := b.Pool.Acquire(r.ofPool())
	if err == nil && b.refuses(r) {
		b.Pool.Release(c, true)
		return nil, ErrDrained
	}
	return c, err
}

// Open returns a connection of this instance, and counts it as in flight until its release.
// It waits like [Backend.AcquireInSlot].
func (b *Backend) Open(now time.Time, r Request) (c *OwnConn, releaseSlot func(), err error) {
	b.AddInFlight(1)
	own, releaseSlot, err := b.AcquireInSlot(now, r)
	if err != nil {
		b.AddInFlight(-1)
		return nil, nil, err
	}
	return &OwnConn{own, b}, releaseSlot, nil
}

// AcquireSlotNow takes a slot for the next statement of an open transaction.
func (b *Backend) AcquireSlotNow(u admitter.Urgency) (releaseSlot func()) {
	return b.Limiter.AcquireNowFor(u, placer.SlotTimeout(b.MeanLatency())).Release
}

// RunInSlot runs the next statement of an open transaction on a connection of this
// instance.
func (b *Backend) RunInSlot(u admitter.Urgency, run func() ([]exchanger.Answer, error)) ([]exchanger.Answer, error) {
	defer b.AcquireSlotNow(u)()
	return run()
}

// AddInFlight adds to the number of this instance's requests that run or wait.
func (b *Backend) AddInFlight(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight += n
}

// Candidate returns the server as a place for a read. Zone is that of this instance, primary
// the ID of the primary, and minPositionAge the age of the position that the read requires.
func (b *Backend) Candidate(now time.Time, zone, primary string, minPositionAge time.Duration) placer.Candidate {
	b.mu.Lock()
	entry, inFlight := b.entry, b.inFlight
	b.mu.Unlock()
	return placer.Candidate{
		SameZone:   entry.Zone == zone,
		Primary:    b.ID == primary,
		ViaGateway: b.UsesGateways(),
		Avoid:      entry.Draining || !entry.MissingSince.IsZero() || b.IsAvoided(now),
		Behind:     b.ID != primary && b.IsBehind(now, minPositionAge),
		InFlight:   inFlight,
		Slots:      entry.Slots,
		Latency:    b.MeanLatency(),
		Wait:       b.RecentWait(now),
	}
}

// Load returns how busy the connections to the server are, as a request finds it.
func (b *Backend) Load(r Request) placer.Load {
	open, idle, waiting := b.Stats()
	slots := b.Limiter.Stats(r.Urgency())
	return placer.Load{
		Open: open, Idle: idle, Waiting: waiting, Limit: b.Limit(), Latency: b.MeanLatency(),
		Slots: slots.Limit, Running: slots.Running, QueuedAhead: slots.QueuedAhead, Overtakers: slots.Overtakers,
	}
}

// HasOwnWork reports whether this instance holds connections to the server, or would send work
// to it itself: it is one of its gateways, or there is none.
func (b *Backend) HasOwnWork() bool {
	if !b.UsesGateways() || b.IsGateway() {
		return true
	}
	open, _, waiting := b.Stats()
	return open > 0 || waiting > 0
}

// IsShortOfConns reports whether requests wait for a connection, none is idle and no more
// may be opened.
func (b *Backend) IsShortOfConns() bool {
	open, idle, waiting := b.Stats()
	return waiting > 0 && idle == 0 && open >= b.Limit()
}
