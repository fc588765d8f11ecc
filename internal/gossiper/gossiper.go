// Package gossiper exchanges views with the other instances, so that one
// that the store turns away learns the configuration and the primaries in time.
//
// Each instance asks one other at random in each interval. A new primary is
// also told to all at once by the instance that made it.
package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
)

const (
	// exchangeInterval keeps the way of a configuration through a fleet of some
	// tens of instances within the 3 s in which it must be in force.
	exchangeInterval = 700 * time.Millisecond
	// crossZoneEvery is one in how many exchanges goes to any instance; the others stay
	// in the availability zone. A view takes some kilobytes in a large fleet, and bytes
	// between zones are dear.
	crossZoneEvery = 4
	// minSameZone other instances in the zone are enough for news to pass among them.
	minSameZone = 4
	// exchangeTimeout covers two ways between zones and a busy instance.
	exchangeTimeout = 400 * time.Millisecond
	// leaseRequestInterval keeps promises of 300 ms from lapsing when one answer is
	// late. A question and its answer take about 200 bytes.
	leaseRequestInterval = 110 * time.Millisecond
	// checkInterval is how often missing instances are looked for.
	checkInterval = 100 * time.Millisecond
	// relayRequestInterval is the same for an instance that passes promises on: what is
	// left of them must outlast the others' interval.
	relayRequestInterval = 60 * time.Millisecond
	// leaseRequestTimeout is how long an answer is of use.
	leaseRequestTimeout = 200 * time.Millisecond
	// directDuration is how long the giver of promises is asked after an instance that
	// passes them on had none.
	directDuration = time.Second
	// refreshCount instances are asked at a time; some may know no more.
	refreshCount = 3
	// minRefreshInterval bounds how often an instance asks while it lacks knowledge.
	minRefreshInterval = 50 * time.Millisecond
)

// View is an instance's view of the system: what it tells others and learns
// from them.
type View interface {
	// State returns this instance's view, with the configuration and the servers if those of the other are older. The other is nil if unknown.
	State(other *wire.PeerState) *wire.PeerState
	// Learn takes over what is newer in another instance's view. Asked is when this
	// instance asked for it; zero if it was not asked for, so that the age of
	// what it says is unknown. It reports whether the other instance has newer
	// records that the view does not contain.
	Learn(s *wire.PeerState, asked time.Time) (lacks bool)
	// EndTenure stops acting under the token.
	EndTenure(token int64)
	// Leases returns the promises that this instance gives as the duty's holder, or
	// what is left of those that it got.
	Leases() *wire.PermitResponse
	// LearnLeases takes over promises that were asked for at the time.
	LearnLeases(p *wire.PermitResponse, asked time.Time)
	// LeaseSource returns where promises are asked for: empty if that is
	// unknown, and self if this instance gives them. Direct asks for the address of
	// their giver instead of an instance that passes them on.
	LeaseSource(direct bool) (address string, self bool)
}

// Config holds what a [Gossiper] needs.
type Config struct {
	Name string
	View View
	// Addresses returns where the other instances listen; Near those of them in
	// the same availability zone.
	Addresses, SameZone func() []string
	// AddressOf returns where the named instance listens; empty if it is unknown.
	AddressOf func(name string) string
	Dialer    messenger.Dialer
	Clock     clockwork.Clock
	Log       logrus.FieldLogger
}

// Gossiper exchanges views until it is closed.
type Gossiper struct {
	cfg Config

	mu          sync.Mutex
	lastRefresh time.Time
	pulling     atomic.Bool
	// detector notes who asks this instance for promises.
	detector *FailureDetector

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// New starts exchanging.
func New(cfg Config) *Gossiper {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gossiper{cfg: cfg, detector: NewFailureDetector(cfg.Clock), ctx: ctx, cancel: cancel, done: make(chan struct{})}
	var wg sync.WaitGroup
	wg.Go(func() { g.run(ctx) })
	wg.Go(func() { g.requestLeases(ctx) })
	wg.Go(func() { g.probeOverdue(ctx) })
	go func() {
		defer close(g.done)
		wg.Wait()
	}()
	return g
}

// Done returns a channel that is closed when the gossiper has stopped.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// Close stops exchanging.
func (g *Gossiper) Close() {
	g.cancel()
	<-g.done
}

func (g *Gossiper) run(ctx context.Context) {
	for {
		select {
		case <-g.cfg.Clock.After(exchangeInterval*3/4 + rand.N(exchangeInterval/2)):
		case <-ctx.Done():
			return
		}
		if address := g.choosePeer(); address != "" {
			if err := g.exchange(ctx, address); err != nil {
				g.cfg.Log.WithError(err).Debug("gossiper: instance is out of reach")
			}
		}
	}
}

// choosePeer returns the next instance to exchange views with; empty if none is known.
func (g *Gossiper) choosePeer() string {
	addresses := g.cfg.Addresses()
	if near := g.cfg.SameZone(); len(near) >= minSameZone && rand.N(crossZoneEvery) > 0 {
		addresses = near
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.N(len(addresses))]
}

func (g *Gossiper) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := g.cfg.Dialer.Dial(ctx, address)
	if err != nil {
		return err
	}
	asked := g.cfg.Clock.Now()
	state, err := wire.NewDRPCPeersClient(conn).Exchange(ctx, g.cfg.View.State(nil))
	if err != nil {
		return errors.Wrap(err, address)
	}
	g.cfg.View.Learn(state, asked)
	return nil
}

// Pull fetches the records that the named instance told of, unless that is being
// done.
func (g *Gossiper) Pull(name string) {
	address := g.cfg.AddressOf(name)
	if address == "" || !g.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.pulling.Store(false)
		if err := g.exchange(g.ctx, address); err != nil {
			g.cfg.Log.WithError(err).Debug("gossiper: instance that has news is out of reach")
		}
	}()
}

// requestLeases asks the holder of the duty for promises again and again.
func (g *Gossiper) requestLeases(ctx context.Context) {
	var direct time.Time
	for {
		interval := leaseRequestInterval
		if g.detector.HasClients() {
			interval = relayRequestInterval
		}
		select {
		case <-g.cfg.Clock.After(interval):
		case <-ctx.Done():
			return
		}
		address, self := g.cfg.View.LeaseSource(g.cfg.Clock.Now().Before(direct))
		asked := g.cfg.Clock.Now()
		switch {
		case self:
			g.cfg.View.LearnLeases(g.cfg.View.Leases(), asked)
		case address != "":
			if err := g.requestLeasesFrom(ctx, address, asked); err != nil {
				g.cfg.Log.WithError(err).Debug("gossiper: no promises")
				direct = g.cfg.Clock.Now().Add(directDuration)
			}
		}
	}
}

func (g *Gossiper) requestLeasesFrom(ctx context.Context, address string, asked time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, leaseRequestTimeout)
	defer cancel()
	conn, err := g.cfg.Dialer.Dial(ctx, address)
	if err != nil {
		return err
	}
	permits, err := wire.NewDRPCPeersClient(conn).Permit(ctx, &wire.PermitRequest{Instance: g.cfg.Name, Lost: g.detector.DetectedHere()})
	if err != nil {
		return errors.Wrap(err, address)
	}
	g.detector.RecordReported(permits.GetLost())
	g.cfg.View.LearnLeases(permits, asked)
	if len(permits.GetPermits()) == 0 {
		return errNoLeases
	}
	return nil
}

// errNoLeases means that an instance neither gives nor has promises.
var errNoLeases = errors.New("instance has no promises")

// probeOverdue asks instances that have stopped asking this one whether they
// live.
func (g *Gossiper) probeOverdue(ctx context.Context) {
	for {
		select {
		case <-g.cfg.Clock.After(checkInterval):
		case <-ctx.Done():
			return
		}
		for _, name := range g.detector.Overdue() {
			go func() { g.detector.RecordProbe(name, g.isAlive(ctx, name)) }()
		}
	}
}

// isAlive reports whether the named instance answers.
func (g *Gossiper) isAlive(ctx context.Context, name string) bool {
	address := g.cfg.AddressOf(name)
	if address == "" {
		// It is not listed any more, so that nobody uses it.
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, leaseRequestTimeout)
	defer cancel()
	conn, err := g.cfg.Dialer.Dial(ctx, address)
	if err != nil {
		return false
	}
	_, err = wire.NewDRPCPeersClient(conn).Permit(ctx, &wire.PermitRequest{})
	return err == nil
}

// Broadcast exchanges views with all instances at the same time and returns the
// number that could not be reached.
func (g *Gossiper) Broadcast(ctx context.Context) (unreached int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, address := range g.cfg.Addresses() {
		wg.Go(func() {
			if err := g.exchange(ctx, address); err != nil {
				g.cfg.Log.WithError(err).Debug("gossiper: instance is out of reach")
				mu.Lock()
				unreached++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return unreached
}

// Refresh exchanges views with a few instances, unless that was done a moment
// ago, and returns when the first has answered or all have failed.
func (g *Gossiper) Refresh() {
	if !g.mayRefresh() {
		return
	}
	addresses := g.cfg.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), refreshCount)]
	answers := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { answers <- g.exchange(context.Background(), address) }()
	}
	for range addresses {
		if <-answers == nil {
			return
		}
	}
}

func (g *Gossiper) mayRefresh() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	if now.Sub(g.lastRefresh) < minRefreshInterval {
		return false
	}
	g.lastRefresh = now
	return true
}

// EndTenure asks the instance at the address to stop acting under the token. A
// process that is gone does not act: its port refuses the connection.
func (g *Gossiper) EndTenure(ctx context.Context, address string, token int64) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := g.cfg.Dialer.Dial(ctx, address)
	if err != nil {
		return false
	}
	_, err = wire.NewDRPCPeersClient(conn).EndTenure(ctx, &wire.EndTenureRequest{
		Header: &wire.Header{Instance: g.cfg.Name}, Token: token,
	})
	return err == nil || isRefused(err)
}
