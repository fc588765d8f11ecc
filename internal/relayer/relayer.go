package relayer

import (
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/tracker"
)

// Relayer makes sessions and keeps what they share.
type Relayer struct {
	cfg    Config
	parts  Dependencies
	router *router.Router
	clock  clockwork.Clock
	log    logrus.FieldLogger
	counts counters

	mu     sync.Mutex
	groups map[string]*group
	pinned map[string]int // by caller
}

// group is what the sessions of one database group share.
type group struct {
	// primary counts transactions in flight on the primary.
	primary atomic.Int64
	// suspect is set while confirmations of the group fail or are late.
	suspect atomic.Bool

	mu sync.Mutex
	// reads counts reads in flight by replica.
	reads map[string]int
	// seen is the highest position that a primary reported to this instance.
	seen tracker.Position
}

// New returns a relayer.
func New(cfg Config, parts Dependencies) *Relayer {
	if parts.Clock == nil {
		parts.Clock = clockwork.NewRealClock()
	}
	if parts.Metrics == nil {
		parts.Metrics = metrics.NewRegistry()
	}
	if parts.Log == nil {
		parts.Log = logrus.StandardLogger()
	}
	r := &Relayer{
		cfg: cfg.withDefaults(), parts: parts, clock: parts.Clock, log: parts.Log,
		groups: make(map[string]*group), pinned: make(map[string]int),
	}
	r.counts = newCounters(parts.Metrics)
	r.router = router.New(router.Config{Policy: r.cfg.Policy, Zone: r.cfg.Zone}, parts.Catalogs, parts.Views, r.readsInFlight)
	return r
}

// InFlight returns the number of transactions of this instance that are in
// flight on the primary of the group, including commits that are not
// confirmed yet.
func (r *Relayer) InFlight(name string) int { return int(r.group(name).primary.Load()) }

func (r *Relayer) group(name string) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.groups[name]
	if !ok {
		g = &group{reads: make(map[string]int)}
		r.groups[name] = g
	}
	return g
}

func (r *Relayer) readsInFlight(name, server string) int {
	g := r.group(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reads[server]
}

func (g *group) addRead(server string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads[server] += n
}

// observe keeps the position that a primary reported.
func (g *group) observe(s tracker.Status) {
	if s.Role != tracker.RolePrimary {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Log.Compare(g.seen) > 0 {
		g.seen = s.Log
	}
}

// reached returns a position that the primary had reached before the call.
func (g *group) reached() tracker.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seen
}

// pin counts one more pinned connection of the caller unless the limit is
// reached.
func (r *Relayer) pin(caller string, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pinned[caller] >= limit {
		return false
	}
	r.pinned[caller]++
	return true
}

func (r *Relayer) unpin(caller string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pinned[caller]--
	if r.pinned[caller] <= 0 {
		delete(r.pinned, caller)
	}
}
