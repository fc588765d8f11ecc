package dispatcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/observer"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// minRecheckPause is the first pause before a lost gateway is asked again. The
	// pause doubles up to maxRecheckPause, about the time until the list of instances
	// shows that an instance is gone.
	minRecheckPause = 250 * time.Millisecond
	maxRecheckPause = 4 * time.Second
	// recheckTimeout limits such a request.
	recheckTimeout = 300 * time.Millisecond
	// avoidNonGateway is how long an instance is avoided that is no gateway of the
	// server, or is stopping, until the list of instances shows it.
	avoidNonGateway = 3 * time.Second
)

// errGateway marks failures of a gateway, which say nothing about the backend
// server.
var errGateway = errors.New("gateway did not run the statement")

// gateway is an instance that holds connections to servers and runs other
// instances' statements on them.
type gateway struct {
	peer placer.Peer
	// isSelf is set for this instance.
	isSelf bool
	// exchanges are the requests that it has not answered.
	exchanges observer.Outstanding

	mu sync.Mutex
	// avoid is until when the gateway is avoided.
	avoid time.Time
	// answered is when it last answered.
	answered time.Time
	// lost is set from a failure to reach the gateway until it answers again; unlisted
	// is set when the instance is no gateway any more.
	lost, unlisted bool
	// lostCh is closed when the gateway is lost, and replaced when it is back.
	lostCh chan struct{}
}

func newGateway(p placer.Peer) *gateway { return &gateway{peer: p, lostCh: make(chan struct{})} }

// contextUntilLost returns a context that ends when the gateway is lost or left is closed.
func (g *gateway) contextUntilLost(left <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	life := g.lostCh
	g.mu.Unlock()
	go func() {
		select {
		case <-life:
			cancel()
		case <-left:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// avoidUntil makes requests avoid the gateway until the given time.
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

// markLost marks the gateway as lost and reports whether it was reachable before.
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

// markReachable ends the state of being lost.
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

// isAvoided reports whether another gateway should be used. One that has not
// answered for a while is avoided: its machine may be frozen or partitioned.
func (g *gateway) isAvoided(now time.Time) bool {
	stalled := g.exchanges.IsStalled(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	silent := stalled && now.Sub(g.answered) > observer.StallTimeout
	return silent || g.lost || now.Before(g.avoid)
}

// chooseGateway returns the first gateway of the server, in order, that was not
// tried and need not be avoided; if there is none, the first one that was not tried;
// nil if all were tried.
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

// markGatewayLost makes callers' requests avoid a gateway that could not be reached,
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

// errUnresponsive means that another instance reported that an instance does not
// answer.
var errUnresponsive = errors.New("instance does not answer")

// MarkUnreachable makes requests avoid the named instances as gateways until they
// answer again. Reads that wait for an answer of theirs are tried elsewhere.
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

// removeUnusedGateways removes the gateways that no server has any more. The caller
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

// gatewaysFor returns the gateways for the peers. The caller holds mu.
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
