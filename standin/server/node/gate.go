package node

import (
	"context"
	"sync"
)

// Gate holds callers while it is closed.
type Gate struct {
	mu   sync.Mutex
	open chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate {
	g := &Gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// Set closes the gate if on is true and opens it otherwise.
func (g *Gate) Set(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		if on {
			g.open = make(chan struct{})
		}
	default:
		if !on {
			close(g.open)
		}
	}
}

// Wait returns when the gate is open or ctx ends.
func (g *Gate) Wait(ctx context.Context) {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
	case <-ctx.Done():
	}
}
