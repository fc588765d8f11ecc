package prober

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	// DefaultInterval is the time between probes while no waiter of the tracker
	// needs a newer status.
	DefaultInterval = 100 * time.Millisecond
	// DefaultTimeout limits one probe, including a reconnect.
	DefaultTimeout = 300 * time.Millisecond
	// DefaultMinGap limits the CPU time of successive probes when the network
	// round trip is shorter than the gap.
	DefaultMinGap = 100 * time.Microsecond
	// DefaultMaxGap is the upper limit of the gap between probes while waiters
	// need progress. The gap doubles with each probe in which the server's log
	// has not advanced. Commits that wait for replicas that store 50 ms late took
	// 0.27 of a core with a fixed gap of 1 ms and 0.17 with this limit
	// (TestBusyCost).
	DefaultMaxGap = 4 * time.Millisecond

	// A pause of reconnectPause plus a random part of up to reconnectJitter
	// follows a failed probe.
	reconnectPause  = 25 * time.Millisecond
	reconnectJitter = 50 * time.Millisecond
)

// Config configures a [Prober].
type Config struct {
	// Server is the name of the backend server.
	Server string
	// Connect opens a connection to the server.
	Connect ConnectFunc
	// Tracker receives the statuses and failures, and tells when a newer status
	// is needed.
	Tracker *tracker.Tracker
	// Clock is the source of time. It must not be nil.
	Clock clockwork.Clock
	// Log may be nil.
	Log logrus.FieldLogger
	// Interval is the time between probes while no waiter needs a newer status,
	// Timeout limits one probe or command, and MinGap and MaxGap bound the gap
	// between probes while waiters need progress. Zero selects the default.
	Interval time.Duration
	Timeout  time.Duration
	MinGap   time.Duration
	MaxGap   time.Duration
}

func (c Config) withDefaults() Config {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MinGap == 0 {
		c.MinGap = DefaultMinGap
	}
	if c.MaxGap == 0 {
		c.MaxGap = DefaultMaxGap
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}

// Prober keeps one connection to one backend server. It reports the status in
// the response to each probe and each command to the tracker. It implements
// promoter.Commander and is safe for concurrent use.
type Prober struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	// sessionLock holds one token. Whoever has received it may use session.
	sessionLock chan struct{}
	session     Session

	probes atomic.Uint64
}

// New starts a prober.
func New(cfg Config) *Prober {
	p := &Prober{
		cfg:         cfg.withDefaults(),
		done:        make(chan struct{}),
		sessionLock: make(chan struct{}, 1),
	}
	p.sessionLock <- struct{}{}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(p.done)
		p.run()
	}()
	return p
}

// Done returns a channel that is closed when the probe loop has ended.
func (p *Prober) Done() <-chan struct{} { return p.done }

// Close stops the prober and closes its connection.
func (p *Prober) Close() {
	p.cancel()
	<-p.done
	<-p.sessionLock
	p.closeSession()
}

// Probes returns the number of probes and commands sent so far.
func (p *Prober) Probes() uint64 { return p.probes.Load() }

func (p *Prober) run() {
	gap := p.cfg.MinGap
	var last tracker.Position
	for p.ctx.Err() == nil {
		sentAt := p.cfg.Clock.Now()
		s, err := p.execute(p.ctx, Session.ReadStatus)
		if err != nil {
			p.sleep(reconnectPause + rand.N(reconnectJitter))
			continue
		}
		if s.Log == last {
			gap = min(2*gap, p.cfg.MaxGap)
		} else {
			gap = p.cfg.MinGap
		}
		last = s.Log
		p.sleep(p.cfg.MinGap - p.cfg.Clock.Since(sentAt))
		p.waitForNextProbe(sentAt, gap)
	}
}

func (p *Prober) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := p.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-p.ctx.Done():
	}
}

// waitForNextProbe waits until the next probe is due: at once when a waiter needs
// a newer status, after the gap when a waiter needs progress of the log, and
// after the interval otherwise.
func (p *Prober) waitForNextProbe(sentAt time.Time, gap time.Duration) {
	clock := p.cfg.Clock
	timer := clock.NewTimer(max(p.cfg.Interval-clock.Since(sentAt), 0))
	defer timer.Stop()
	for {
		wanted := p.cfg.Tracker.WaitAdded()
		need := p.cfg.Tracker.Needs(p.cfg.Server)
		if need == tracker.NeedStatus {
			return
		}
		if need == tracker.NeedProgress {
			timer.Reset(max(gap-clock.Since(sentAt), 0))
		}
		select {
		case <-wanted:
		case <-timer.Chan():
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// Fence implements promoter.Commander.
func (p *Prober) Fence(ctx context.Context, term uint64, promoter string) (tracker.Status, error) {
	return p.execute(ctx, func(s Session, ctx context.Context) (tracker.Status, error) {
		return s.Fence(ctx, term, promoter)
	})
}

// Promote implements promoter.Commander.
func (p *Prober) Promote(ctx context.Context, term uint64, promoter string) (tracker.Status, error) {
	return p.execute(ctx, func(s Session, ctx context.Context) (tracker.Status, error) {
		return s.Promote(ctx, term, promoter)
	})
}

// Follow implements promoter.Commander.
func (p *Prober) Follow(ctx context.Context, term uint64, primary, address string) (tracker.Status, error) {
	return p.execute(ctx, func(s Session, ctx context.Context) (tracker.Status, error) {
		return s.Follow(ctx, term, primary, address)
	})
}

// execute runs one exchange within the timeout and reports its result to the
// tracker. An exchange that the caller canceled does not count as a failure of
// the server.
func (p *Prober) execute(ctx context.Context, exchange func(Session, context.Context) (tracker.Status, error)) (tracker.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	select {
	case <-p.sessionLock:
	case <-ctx.Done():
		return tracker.Status{}, ctx.Err()
	}
	defer func() { p.sessionLock <- struct{}{} }()
	sentAt := p.cfg.Clock.Now()
	s, sentAt, err := p.exchange(ctx, sentAt, exchange)
	if err == nil {
		p.cfg.Tracker.Observe(p.cfg.Server, s, sentAt, p.cfg.Clock.Now())
		return s, nil
	}
	p.closeSession()
	if !errors.Is(err, context.Canceled) && !isTooManyConnections(err) {
		p.cfg.Tracker.ObserveFailure(p.cfg.Server, sentAt, isRefused(err))
	}
	p.cfg.Log.WithField("server", p.cfg.Server).WithError(err).Debug("prober: probe failed")
	return tracker.Status{}, err
}

func (p *Prober) exchange(ctx context.Context, sentAt time.Time, exchange func(Session, context.Context) (tracker.Status, error)) (tracker.Status, time.Time, error) {
	if err := ctx.Err(); err != nil {
		return tracker.Status{}, sentAt, err
	}
	if p.session == nil {
		session, err := p.cfg.Connect(ctx)
		if err != nil {
			return tracker.Status{}, sentAt, err
		}
		p.session = session
		sentAt = p.cfg.Clock.Now()
	}
	p.probes.Add(1)
	s, err := exchange(p.session, ctx)
	if err == nil && s.Server != p.cfg.Server {
		err = fmt.Errorf("backend server reports the name %q", s.Server)
	}
	return s, sentAt, err
}

func (p *Prober) closeSession() {
	if p.session != nil {
		p.session.Close()
		p.session = nil
	}
}
