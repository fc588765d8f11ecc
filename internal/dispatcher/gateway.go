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
	// revivePause is the first pause until a lost gateway is asked again; it
	// doubles up to revivePauseLimit, about the time in which the list of
	// instances shows that one is gone.
	revivePause      = 250 * time.Millisecond
	revivePauseLimit = 4 * time.Second
	// reviveTimeout limits such a question.
	reviveTimeout = 300 * time.Millisecond
	// avoidFormerGateway spares an instance that is no gateway, or is stopping,
	// until the list of instances shows it.
	avoidFormerGateway = 3 * time.Second
)

// errGateway marks failures that show nothing of the backend server.
var errGateway = errors.New("gateway did not run the statement")

// gateway is an instance that holds connections to servers.
type gateway struct {
	peer placer.Peer
	// isSelf is set for this instance.
	isSelf bool
	// exchanges are the requests that it has not answered.
	exchanges acknowledgements

	mu       sync.Mutex
	avoid    time.Time
	answered time.Time
	// lost is set from a failure to reach the gateway until it answers again;
	// unlisted when it is no gateway any more.
	lost, unlisted bool
	// life is closed when the gateway is lost, and made anew when it is back.
	life chan struct{}
}

func newGateway(p placer.Peer) *gateway { return &gateway{peer: p, life: make(chan struct{})} }

// whileAlive returns a context that ends when the gateway is lost.
func (g *gateway) whileAlive() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	life := g.life
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

func (g *gateway) spare(until time.Time) {
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

// lose marks the gateway as lost and reports whether it was not before.
func (g *gateway) lose() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost {
		return false
	}
	g.lost = true
	close(g.life)
	return true
}

// find marks the gateway as reachable.
func (g *gateway) find() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost {
		g.lost, g.life = false, make(chan struct{})
	}
}

func (g *gateway) isUnlisted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unlisted
}

func (g *gateway) unlist() {
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
	silent := stalled && now.Sub(g.answered) > stallAfter
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

// loseGateway keeps callers' requests off a gateway that could not be reached
// and asks it in the background until it answers.
func (d *Dispatcher) loseGateway(g *gateway, cause error) {
	if !g.lose() {
		return
	}
	log := d.cfg.Log.WithField("gateway", g.peer.Name)
	log.WithError(cause).Info("dispatcher: gateway is lost")
	go func() {
		for pause := revivePause; !g.isUnlisted(); pause = min(2*pause, revivePauseLimit) {
			select {
			case <-d.cfg.Clock.After(pause):
			case <-d.stop:
				return
			}
			if _, err := d.cfg.Forwarder.Forward(context.Background(), g.peer.Address, forwarder.Request{Timeout: reviveTimeout}); err == nil {
				g.find()
				log.Info("dispatcher: gateway is back")
				return
			}
		}
	}()
}

// errLost means that another instance found that one does not answer.
var errLost = errors.New("instance does not answer")

// LoseInstances keeps requests off the named instances until they answer, and
// gives reads up that wait for them.
func (d *Dispatcher) LoseInstances(names []string) {
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
		d.loseGateway(g, errLost)
	}
}

// dropGateways forgets the gateways that no server has any more. The caller
// holds mu.
func (d *Dispatcher) dropGateways() {
	used := map[*gateway]bool{}
	for _, b := range d.backends {
		for _, g := range b.gateways {
			used[g] = true
		}
	}
	for address, g := range d.peers {
		if !used[g] {
			g.unlist()
			delete(d.peers, address)
		}
	}
}

// gatewaysAt returns the gateways that the peers are. The caller holds mu.
func (d *Dispatcher) gatewaysAt(peers []placer.Peer) []*gateway {
	var out []*gateway
	for _, p := range peers {
		if d.isSelf(p) {
			out = append(out, d.self)
			continue
		}
		g := d.peers[p.Address]
		if g != nil && g.peer != p {
			g.unlist()
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
