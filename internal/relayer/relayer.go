package relayer

import (
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/router"
)

// Relayer creates sessions and keeps their shared state.
type Relayer struct {
	cfg    Config
	deps   Dependencies
	router *router.Router
	clock  clockwork.Clock
	log    logrus.FieldLogger
	counts counters

	mu             sync.Mutex
	groups         map[string]*group
	pinnedByCaller map[string]int // pinned connections
}

// group is the state that the sessions of one database group share.
type group struct {
	// inFlight counts transactions in flight on the primary.
	inFlight atomic.Int64
	// starved counts sessions that have waited longer than starvedWait for a server
	// connection.
	starved atomic.Int64
	// certifier confirms the answers of the group.
	certifier *certifier.Certifier

	mu sync.Mutex
	// reads counts reads in flight by replica.
	reads map[string]int
}

// New returns a relayer. It needs no Close.
func New(cfg Config, deps Dependencies) *Relayer {
	if deps.Clock == nil {
		deps.Clock = clockwork.NewRealClock()
	}
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewRegistry()
	}
	if deps.Log == nil {
		deps.Log = logrus.StandardLogger()
	}
	if deps.Quotas == nil {
		deps.Quotas = charger.Unlimited{}
	}
	r := &Relayer{
		cfg: cfg.withDefaults(), deps: deps, clock: deps.Clock, log: deps.Log,
		groups: make(map[string]*group), pinnedByCaller: make(map[string]int),
	}
	r.counts = newCounters(deps.Metrics)
	r.router = router.New(router.Config{Policy: r.cfg.Policy, Zone: r.cfg.Zone}, deps.Catalogs, deps.Views, r.readsInFlight)
	return r
}

// InFlight returns the number of transactions of this instance that are in
// flight on the primary of the group, including commits that are not
// confirmed yet.
func (r *Relayer) InFlight(name string) int { return int(r.group(name).inFlight.Load()) }

func (r *Relayer) group(name string) *group {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.groups[name]
	if !ok {
		g = &group{reads: make(map[string]int), certifier: certifier.New(certifier.Config{
			Group: name, Confirmer: r.deps.Confirmer, Wait: r.cfg.ConfirmWait, CheckWait: r.cfg.PrimaryWait, Log: r.log,
		})}
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

// reservePin counts one more pinned connection of the caller unless the limit
// is reached.
func (r *Relayer) reservePin(caller string, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pinnedByCaller[caller] >= limit {
		return false
	}
	r.pinnedByCaller[caller]++
	return true
}

func (r *Relayer) releasePin(caller string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pinnedByCaller[caller]--
	if r.pinnedByCaller[caller] <= 0 {
		delete(r.pinnedByCaller, caller)
	}
}
