package selector

import (
	"slices"
	"sync"
	"time"
)

// Ranking is the gateways of one server. The zero value has none.
type Ranking struct {
	mu sync.Mutex
	// gateways hold the connections to the server, in the order in which they
	// are used; rank is the place of this instance among them, -1 if it is none.
	gateways []*Gateway
	rank     int
}

// SetGateways replaces the gateways, and the rank of this instance among them, -1 if it is none.
func (r *Ranking) SetGateways(gateways []*Gateway, rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gateways, r.rank = gateways, rank
}

// UsesGateways reports whether work for the server goes through its gateways,
// of which this instance may be one.
func (r *Ranking) UsesGateways() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.gateways) > 0
}

// IsGateway reports whether this instance is a gateway of the server.
func (r *Ranking) IsGateway() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.gateways) > 0 && r.rank >= 0
}

// ChooseGateway returns the first gateway of the server, in order, that was not
// tried and need not be avoided; if there is none, the first one that was not tried;
// nil if all were tried.
func (r *Ranking) ChooseGateway(now time.Time, tried []*Gateway) *Gateway {
	var first *Gateway
	for _, g := range r.all() {
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

// IsScheduler reports whether this instance is the first gateway of the server that need not
// be avoided, and so schedules its work.
func (r *Ranking) IsScheduler(now time.Time) bool {
	g := r.ChooseGateway(now, nil)
	return g != nil && g.isSelf
}

func (r *Ranking) all() []*Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gateways
}
