package dispatcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// minRecheckPause is the first pause until a lost gateway is asked again; it
	// doubles up to revivePauseLimit, about the time in which the list of
	// instances shows that one is gone.
	minRecheckPause = 250 * time.Millisecond
	maxRecheckPause = 4 * time.Second
	// recheckTimeout limits such a question.
	recheckTimeout = 300 * time.Millisecond
	// avoidNonGateway spares an instance that is no gateway, or is stopping,
	// until the list of instances shows it.
	avoidNonGateway = 3 * time.Second
)

// errGateway marks failures that show nothing of the backend server.
var errGateway = errors.New("gateway did not run the statement")

// gateway is an instance that holds connections to servers.
type gateway struct {
	peer placer.Peer
	// isSelf is set for this instance.
	isSelf bool
	// exchanges are the requests that it has not answered.
	exchanges outstanding

	mu       sync.Mutex
	avoid    time.Time
	answered time.Time
	// lost is set from a failure to reach the gateway until it answers again;
	// unlisted when it is no gateway any more.
	lost, unlisted bool
	// lostCh is closed when the gateway is lost, and made anew when it is back.
	lostCh chan struct{}
}

func newGateway(p placer.Peer) *gateway { return &gateway{peer: p, lostCh: make(chan struct{})} }

// contextUntilLost returns a context that ends when the gateway is lost.
func (g *gateway) contextUntilLost() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	life := g.lostCh
	g.mu.Unlock()
	go func() {
		select {
		case <-life:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (g *gateway) avoidUntil(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until.After(g.avoid) {
		g.avoid = until
	}
}

func (g *gateway) noteAnswer(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered = now
}

// markLost marks the gateway as lost and reports whether it was not before.
func (g *gateway) markLost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost {
		return false
	}
	g.lost = true
	close(g.lostCh)
	return true
}

// markReachable marks the gateway as reachable.
func (g *gateway) markReachable() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost {
		g.lost, g.lostCh = false, make(chan struct{})
	}
}

func (g *gateway) isUnlisted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unlisted
}

func (g *gateway) markUnlisted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlisted = true
}

// isAvoided reports whether another gateway should be used. One that leaves
// requests unanswered for a while is avoided: its machine may be frozen or cut off.
func (g *gateway) isAvoided(now time.Time) bool {
	stalled := g.exchanges.isStalled(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	silent := stalled && now.Sub(g.answered) > stallTimeout
	return silent || g.lost || now.Before(g.avoid)
}

// chooseGateway returns the first gateway of the server in order that has not
// been tried and need not be avoided, or else the first one that has not been
// tried; nil if all have been.
func (b *backend) chooseGateway(now time.Time, tried []*gateway) *gateway {
	b.mu.Lock()
	gateways := b.gateways
	b.mu.Unlock()
	var first *gateway
	for _, g := range gateways {
		if slices.Contains(tried, g) {
			continue
		}
		if !g.isAvoided(now) {
			return g
		}
		if first == nil {
			first = g
		}
	}
	return first
}

// markGatewayLost keeps callers' requests off a gateway that could not be reached
// and asks it in the background until it answers.
func (d *Dispatcher) markGatewayLost(g *gateway, cause error) {
	if !g.markLost() {
		return
	}
	log := d.cfg.Log.WithField("gateway", g.peer.Name)
	log.WithError(cause).Info("dispatcher: gateway is lost")
	go func() {
		for pause := minRecheckPause; !g.isUnlisted(); pause = min(2*pause, maxRecheckPause) {
			select {
			case <-d.cfg.Clock.After(pause):
			case <-d.stop:
				return
			}
			if _, err := d.cfg.Forwarder.Forward(context.Background(), g.peer.Address, forwarder.Request{Timeout: recheckTimeout}); err == nil {
				g.markReachable()
				log.Info("dispatcher: gateway is back")
				return
			}
		}
	}()
}

// errUnresponsive means that another instance found that one does not answer.
var errUnresponsive = errors.New("instance does not answer")

// MarkUnreachable keeps requests off the named instances until they answer, and
// gives reads up that wait for them.
func (d *Dispatcher) MarkUnreachable(names []string) {
	if len(names) == 0 {
		return
	}
	var lost []*gateway
	d.mu.RLock()
	for _, g := range d.peers {
		if slices.Contains(names, g.peer.Name) {
			lost = append(lost, g)
		}
	}
	d.mu.RUnlock()
	for _, g := range lost {
		d.markGatewayLost(g, errUnresponsive)
	}
}

// removeUnusedGateways forgets the gateways that no server has any more. The caller
// holds mu.
func (d *Dispatcher) removeUnusedGateways() {
	used := map[*gateway]bool{}
	for _, b := range d.backends {
		for _, g := range b.gateways {
			used[g] = true
		}
	}
	for address, g := range d.peers {
		if !used[g] {
			g.markUnlisted()
			delete(d.peers, address)
		}
	}
}

// gatewaysFor returns the gateways that the peers are. The caller holds mu.
func (d *Dispatcher) gatewaysFor(peers []placer.Peer) []*gateway {
	var out []*gateway
	for _, p := range peers {
		if d.isSelf(p) {
			out = append(out, d.self)
			continue
		}
		g := d.peers[p.Address]
		if g != nil && g.peer != p {
			g.markUnlisted()
			g = nil
		}
		if g == nil {
			g = newGateway(p)
			d.peers[p.Address] = g
		}
		out = append(out, g)
	}
	return out
}
