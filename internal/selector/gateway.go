package selector

import (
	"context"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/observer"
	"marigoldhub.example/hub/internal/placer"
)

// Gateway is an instance that holds connections to servers and runs other
// instances' statements on them.
type Gateway struct {
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

func newGateway(p placer.Peer) *Gateway { return &Gateway{peer: p, lostCh: make(chan struct{})} }

// Peer returns the instance as it is listed; the zero value for this instance.
func (g *Gateway) Peer() placer.Peer { return g.peer }

// IsSelf reports whether the gateway is this instance.
func (g *Gateway) IsSelf() bool { return g.isSelf }

// Begin records a request that is sent to the gateway. The returned function records its end.
func (g *Gateway) Begin(now time.Time) (end func()) { return g.exchanges.Begin(now) }

// ContextUntilLost returns a context that ends when the gateway is lost or left is closed.
func (g *Gateway) ContextUntilLost(left <-chan struct{}) (context.Context, context.CancelFunc) {
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

// AvoidUntil makes requests avoid the gateway until the given time.
func (g *Gateway) AvoidUntil(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until.After(g.avoid) {
		g.avoid = until
	}
}

// NoteAnswer records that the gateway has answered.
func (g *Gateway) NoteAnswer(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered = now
}

// markLost marks the gateway as lost and reports whether it was reachable before.
func (g *Gateway) markLost() bool {
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
func (g *Gateway) markReachable() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost {
		g.lost, g.lostCh = false, make(chan struct{})
	}
}

func (g *Gateway) isUnlisted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unlisted
}

func (g *Gateway) markUnlisted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unlisted = true
}

// isAvoided reports whether another gateway should be used. One that has not
// answered for a while is avoided: its machine may be frozen or partitioned.
func (g *Gateway) isAvoided(now time.Time) bool {
	stalled := g.exchanges.IsStalled(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	silent := stalled && now.Sub(g.answered) > observer.StallTimeout
	return silent || g.lost || now.Before(g.avoid)
}
