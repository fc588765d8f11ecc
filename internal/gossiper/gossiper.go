// Package gossiper exchanges state with the other instances, so that an instance
// which cannot reach the store still learns the configuration, the list of
// servers and the primaries in time.
//
// It does five things:
//
//   - Anti-entropy: about every exchangeInterval an instance exchanges its [View]
//     with one random other, mostly in its own availability zone. An instance that
//     hears of a newer record, a configuration or a list of servers, fetches it at
//     once ([Gossiper.Pull]). One that has changed a primary exchanges views with all
//     others at once ([Gossiper.Broadcast]).
//   - News: a new configuration and other news from the store pass from instance to
//     instance along a tree ([Gossiper.Spread]). Each one fetches the configuration from
//     who told it, and each link carries only one or two configurations at a time.
//   - Primary leases: each instance requests primary leases (see package attester;
//     the messages call them permits) several times a second from the coordinator,
//     the instance that may change primaries. The time in which one instance is the
//     coordinator is a tenure, identified by its fencing token (see package holder).
//     In large fleets leases are requested from a relay in the same zone, which
//     grants what remains of its own leases. Responses carry the proof that the
//     sender's configuration is current (see package prover), with its age; so do
//     responses to exchanges of views.
//   - Planned stops: an instance that stops tells all others ([Gossiper.Leave]).
//   - Failure detection: the lease requests are heartbeats of a [FailureDetector].
//
// All requests to other instances have short timeouts; a failed exchange is made
// up for by the next one.
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
	// exchangeInterval lets a configuration reach a fleet of some tens of instances
	// within the 3 s in which it must be in force.
	exchangeInterval = 700 * time.Millisecond
	// crossZoneEvery is n if one of n exchanges goes to any instance; the others stay
	// in the availability zone. A view takes some kilobytes in a large fleet, and
	// traffic between zones is expensive.
	crossZoneEvery = 4
	// minSameZone is the number of other instances in the zone from which exchanges
	// stay in it; fewer would not spread changes reliably.
	minSameZone = 4
	// exchangeTimeout covers two trips between zones and a busy instance.
	exchangeTimeout = 400 * time.Millisecond
	// leaseRequestInterval keeps leases of 300 ms from ending when one response is
	// late. A request and its response take about 200 bytes.
	leaseRequestInterval = 110 * time.Millisecond
	// firstExchangeJitter spreads the first exchanges of instances that start together.
	firstExchangeJitter = 200 * time.Millisecond
	// transferTimeout limits an exchange that may bring a configuration, which takes some
	// tenths of a second on a slow link.
	transferTimeout = time.Second
	// maxPulls is how often a newer configuration is asked for while the links of those that
	// have it are busy, with pauses of about pullPause.
	maxPulls  = 4
	pullPause = 120 * time.Millisecond
	// checkInterval is how often overdue instances are looked for.
	checkInterval = 100 * time.Millisecond
	// relayRequestInterval is the leaseRequestInterval of a relay: what remains of
	// its leases must outlast the interval of its clients.
	relayRequestInterval = 60 * time.Millisecond
	// leaseRequestTimeout limits a lease request; a later response is of no use.
	leaseRequestTimeout = 200 * time.Millisecond
	// leaveTimeout limits how long the others are told that this instance is stopping. It
	// covers a new connection to each of a large fleet; one that is not told meanwhile
	// learns it from a refusal.
	leaveTimeout = 400 * time.Millisecond
	// directDuration is how long leases are requested from the coordinator itself
	// after a request failed or brought no leases.
	directDuration = time.Second
	// refreshCount instances are asked by a Refresh; some may know nothing newer.
	refreshCount = 3
	// minRefreshInterval is the least time between two runs of Refresh.
	minRefreshInterval = 50 * time.Millisecond
)

// View is this instance's state as it is exchanged with other instances.
type View interface {
	// State returns this instance's state. It includes the configuration and the
	// list of servers if those of the other instance are older; other is nil if
	// its state is unknown.
	State(other *wire.PeerState) *wire.PeerState
	// Learn merges what is newer in another instance's state. Asked is when this
	// instance requested the state; it is zero if the other instance sent it
	// unasked, and then the age of its contents is unknown. Lacks is true if the
	// other instance has a newer configuration or list of servers that the message
	// does not contain.
	Learn(s *wire.PeerState, asked time.Time) (lacks bool)
	// EndTenure makes this instance stop acting as the coordinator in the tenure with
	// the fencing token.
	EndTenure(token int64)
	// Leases returns the primary leases that this instance grants: new ones as the
	// coordinator, or what remains of its own as a relay.
	Leases() *wire.PermitResponse
	// Waits returns the waits at busy servers that this instance knows of, LearnWaits
	// merges those of another instance.
	Waits() []*wire.ServerWait
	LearnWaits(waits []*wire.ServerWait)
	// LearnLeases adopts leases that were requested at the time, and the proof that comes
	// with them (see package prover). Lacks is true if the proof is for a newer
	// configuration than this instance's.
	LearnLeases(p *wire.PermitResponse, asked time.Time) (lacks bool)
	// LearnStopping records that the named instance is stopping.
	LearnStopping(name string)
	// LeaseSource returns the address to request leases from; empty if it is unknown.
	// Self is true if this instance is the coordinator and grants them itself. Direct
	// asks for the address of the coordinator even if there is a relay.
	LeaseSource(direct bool) (address string, self bool)
}

// Config holds what a [Gossiper] needs.
type Config struct {
	Name string
	View View
	// Address is this instance's address.
	Address string
	// Addresses returns the addresses of the other instances; SameZone of those in
	// the same availability zone. Nil means that there are none.
	Addresses, SameZone func() []string
	// Blocks returns the addresses of all instances in blocks, in the same order at all
	// instances that know the same ones. The first of each block spreads news in it. Nil means
	// that there are none.
	Blocks func() [][]string
	// LinkBytes is how many bytes a second the link of this instance carries; 0 if that is
	// not known.
	LinkBytes float64
	// AddressOf returns the address of the named instance; empty if it is unknown.
	AddressOf func(name string) string
	Dialer    messenger.Dialer
	Clock     clockwork.Clock
	Log       logrus.FieldLogger
}

// Gossiper exchanges state with other instances until it is closed.
type Gossiper struct {
	cfg Config

	mu sync.Mutex
	// lastRefresh is when Refresh last ran.
	lastRefresh time.Time
	pulling     atomic.Bool
	// version is that of this instance's configuration at the last exchange.
	version   atomic.Int64
	detector  *FailureDetector
	transfers *transferLimiter
	news      spreader

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a gossiper.
func New(cfg Config) *Gossiper {
	if cfg.Addresses == nil {
		cfg.Addresses = func() []string { return nil }
	}
	if cfg.SameZone == nil {
		cfg.SameZone = func() []string { return nil }
	}
	if cfg.Blocks == nil {
		cfg.Blocks = func() [][]string { return nil }
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gossiper{cfg: cfg, detector: NewFailureDetector(cfg.Clock), transfers: newTransferLimiter(cfg.LinkBytes, cfg.Clock), ctx: ctx, cancel: cancel, done: make(chan struct{})}
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

// Close stops the gossiper.
func (g *Gossiper) Close() {
	g.cancel()
	<-g.done
}

func (g *Gossiper) run(ctx context.Context) {
	wait := rand.N(firstExchangeJitter)
	refused := ""
	for {
		select {
		case <-g.cfg.Clock.After(wait):
		case <-ctx.Done():
			return
		}
		wait = exchangeInterval*3/4 + rand.N(exchangeInterval/2)
		address := g.choosePeerBut(refused)
		refused = ""
		if address == "" {
			continue
		}
		state, lacks, err := g.exchangeWithin(ctx, address, transferTimeout)
		if err != nil {
			g.cfg.Log.WithError(err).Debug("gossiper: exchange with an instance failed")
		} else if lacks && !hasRecords(state) && g.version.Load() == 0 {
			// Without a configuration this instance serves nobody: it asks another one soon.
			refused, wait = address, pullPause*3/4+rand.N(pullPause/2)
		}
	}
}

// choosePeer returns the address of the next instance to exchange state with;
// empty if none is known.
func (g *Gossiper) choosePeer() string { return g.choosePeerBut("") }

// choosePeerBut is choosePeer for any other than the one at the address, if there is one.
func (g *Gossiper) choosePeerBut(not string) string {
	addresses := g.cfg.Addresses()
	if near := g.cfg.SameZone(); len(near) >= minSameZone && rand.N(crossZoneEvery) > 0 {
		addresses = near
	}
	if len(addresses) == 0 {
		return ""
	}
	i := rand.N(len(addresses))
	if addresses[i] == not {
		i = (i + 1) % len(addresses)
	}
	return addresses[i]
}

func (g *Gossiper) exchange(ctx context.Context, address string) error {
	_, _, err := g.exchangeWithin(ctx, address, exchangeTimeout)
	return err
}

// exchangeWithin exchanges state with the instance at the address and learns its state. Lacks
// is true if that instance has newer records that it did not send.
func (g *Gossiper) exchangeWithin(ctx context.Context, address string, timeout time.Duration) (state *wire.PeerState, lacks bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := g.cfg.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	asked := g.cfg.Clock.Now()
	own := g.cfg.View.State(nil)
	g.version.Store(own.GetConfigurationVersion())
	state, err = wire.NewDRPCPeersClient(conn).Exchange(ctx, own)
	if err != nil {
		return nil, false, errors.Wrap(err, address)
	}
	return state, g.cfg.View.Learn(state, asked), nil
}

// Pull fetches the newer records of the named instance in the background. It does
// nothing while another Pull is running: the next exchange makes up for it.
func (g *Gossiper) Pull(name string) { g.pullFrom(g.cfg.AddressOf(name)) }

// pullFrom is Pull for the instance at the address. While that one sends its records to others,
// any other instance is asked in turn with it.
func (g *Gossiper) pullFrom(source string) {
	if source == "" || !g.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.pulling.Store(false)
		address := source
		var wanted *wire.PeerState
		for range maxPulls {
			state, lacks, err := g.exchangeWithin(g.ctx, address, transferTimeout)
			if err != nil {
				g.cfg.Log.WithError(err).Debug("gossiper: newer records could not be fetched from an instance")
			}
			switch {
			case address != source:
				if err == nil && !lacks && isAtLeastAsNew(state, wanted) {
					return
				}
			case err != nil || !lacks || hasRecords(state):
				// Records that were sent but not adopted would not be adopted again.
				return
			default:
				wanted = state
			}
			g.pause(pullPause*3/4 + rand.N(pullPause/2))
			if next := g.choosePeerBut(source); address == source && next != "" {
				address = next
			} else {
				address = source
			}
		}
	}()
}

// isAtLeastAsNew reports whether the records of the state are at least as new as those of the other.
func isAtLeastAsNew(s, other *wire.PeerState) bool {
	return s.GetConfigurationVersion() >= other.GetConfigurationVersion() && s.GetServersRevision() >= other.GetServersRevision()
}

// requestLeases keeps this instance's primary leases up to date.
func (g *Gossiper) requestLeases(ctx context.Context) {
	var directUntil time.Time
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
		address, self := g.cfg.View.LeaseSource(g.cfg.Clock.Now().Before(directUntil))
		asked := g.cfg.Clock.Now()
		switch {
		case self:
			g.cfg.View.LearnLeases(g.cfg.View.Leases(), asked)
		case address != "":
			if err := g.requestLeasesFrom(ctx, address, asked); err != nil {
				g.cfg.Log.WithError(err).Debug("gossiper: no primary leases were granted")
				directUntil = g.cfg.Clock.Now().Add(directDuration)
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
	leases, err := wire.NewDRPCPeersClient(conn).Permit(ctx, &wire.PermitRequest{Instance: g.cfg.Name, Lost: g.detector.DetectedHere(), Waits: g.cfg.View.Waits()})
	if err != nil {
		return errors.Wrap(err, address)
	}
	g.detector.RecordReported(leases.GetLost())
	g.cfg.View.LearnWaits(leases.GetWaits())
	if g.cfg.View.LearnLeases(leases, asked) {
		g.pullFrom(address)
	}
	if len(leases.GetPermits()) == 0 && len(leases.GetSwitchovers()) == 0 {
		return errNoLeases
	}
	return nil
}

// errNoLeases means that the asked instance is no coordinator and has no leases.
var errNoLeases = errors.New("instance granted no primary leases")

// probeOverdue probes instances whose lease requests are overdue.
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

// isAlive reports whether the named instance answers a probe.
func (g *Gossiper) isAlive(ctx context.Context, name string) bool {
	address := g.cfg.AddressOf(name)
	if address == "" {
		// It is not listed any more, so that no instance sends it requests.
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

// Broadcast exchanges state with all instances in parallel and returns the number
// of those that could not be reached.
func (g *Gossiper) Broadcast(ctx context.Context) (unreached int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, address := range g.cfg.Addresses() {
		wg.Go(func() {
			if err := g.exchange(ctx, address); err != nil {
				g.cfg.Log.WithError(err).Debug("gossiper: exchange with an instance failed")
				mu.Lock()
				unreached++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return unreached
}

// Leave tells all other instances that this one is stopping, so that none sends it new
// work, and waits for their answers. It returns the number of those that did not answer.
func (g *Gossiper) Leave(ctx context.Context) (unreached int) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var failed atomic.Int32
	for _, address := range g.cfg.Addresses() {
		wg.Go(func() {
			conn, err := g.cfg.Dialer.Dial(ctx, address)
			if err == nil {
				_, err = wire.NewDRPCPeersClient(conn).Permit(ctx, &wire.PermitRequest{Instance: g.cfg.Name, Lost: []string{g.cfg.Name}})
			}
			if err != nil {
				failed.Add(1)
				g.cfg.Log.WithError(err).WithField("address", address).Debug("gossiper: an instance was not told that this one is stopping")
			}
		})
	}
	wg.Wait()
	return int(failed.Load())
}

// Refresh exchanges state with a few random instances and returns when the first
// has answered or all have failed. It does nothing if it last ran less than
// minRefreshInterval ago.
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

// EndTenure asks the instance at the address to stop acting as the coordinator in
// the tenure with the fencing token, and reports whether it surely does not act
// any more. If the port refuses the connection, the process is gone and does not act.
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
