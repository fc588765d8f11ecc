package reconciler

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/selector"
)

const (
	// interval is how often the shares of connections are recomputed at least.
	interval = 500 * time.Millisecond
	// startupInterval replaces it while shares grow after the start.
	startupInterval = 100 * time.Millisecond
	// idleTimeout is how long a connection beyond minOpenConnections may be idle.
	// Servers count the connections of an instance that lost power for 3 s; those
	// that were closed before are available to the instances that start again.
	idleTimeout = 1500 * time.Millisecond
	// maxTeamIdleTime is how long a connection of a team may be idle in any case. Servers
	// close idle connections after a time of their own, and a statement that is sent on
	// a closed one is lost.
	maxTeamIdleTime = 20 * time.Second
	// probeIdleTimeout replaces idleTimeout on an instance that is no gateway of the
	// server: its connections serve status queries only. It is longer than the pause
	// between two queries.
	probeIdleTimeout = 500 * time.Millisecond
	// minOpenConnections connections to each server stay open for status queries
	// and the next request.
	minOpenConnections = 1
)

// Config holds what a [Reconciler] needs.
type Config struct {
	// Informer provides the list of servers and the configuration.
	Informer *informer.Informer
	// Instances returns all listed instances, this one included.
	Instances func() []placer.Peer
	// InstancesKnown reports whether the list of instances has been received.
	InstancesKnown func() bool
	// Seeds are instances that all others know from the beginning; some may be gone.
	Seeds []placer.Peer
	// IsCoordinator reports whether this instance is the coordinator.
	IsCoordinator func() bool
	// Selector knows the gateways.
	Selector *selector.Selector
	// KeepListed is called with the servers of a service that are listed.
	KeepListed func(service string, servers map[string]bool)
	// Dialer opens connections to servers.
	Dialer exchanger.Dialer
	// DrainLimit is how long a draining server at least goes on accepting work,
	// as the servers guarantee. This instance stops sending it new work well before.
	DrainLimit time.Duration
	Clock      clockwork.Clock
	Metrics    metrics.Registry
	Log        logrus.FieldLogger
}

// Reconciler holds the backends of the listed servers.
type Reconciler struct {
	cfg     Config
	dials   dialCounters
	order   *orderCounters
	started time.Time

	mu       sync.RWMutex
	backends map[string]*connector.Backend
	// unlisted is the health of servers without a pool.
	unlisted map[string]unlistedHealth
	// last is what the last complete pass was made of, and ranked has the servers of which this
	// instance is a gateway since then.
	last   basis
	ranked []*connector.Backend
}

// New returns a reconciler without backends.
func New(cfg Config) *Reconciler {
	return &Reconciler{
		cfg: cfg, dials: newDialCounters(cfg.Metrics), order: newOrderCounters(cfg.Metrics), started: cfg.Clock.Now(),
		backends: map[string]*connector.Backend{}, unlisted: map[string]unlistedHealth{},
	}
}

// Close closes all idle connections; others are closed when they are released.
func (r *Reconciler) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.backends {
		b.Close()
	}
}

// Interval returns the time until the next call of Reconcile, if no list changes before.
func (r *Reconciler) Interval() time.Duration {
	if r.cfg.Clock.Since(r.started) < serverLingerTime {
		return startupInterval
	}
	return interval
}

// Reconcile opens and closes pools as servers are listed and removed, and updates
// their gateways and shares of connections. While nothing has changed that the shares depend
// on, it looks only at the servers with which this instance has to do: there are as many others
// as the fleet is large.
func (r *Reconciler) Reconcile() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.basis()
	if now.equal(r.last) {
		for _, b := range r.backends {
			if b.HasOwnWork() {
				r.reconcileServer(now.state, b.Entry(), now.peers)
			}
		}
		if len(r.unlisted) > 0 {
			r.forgetUnlisted()
		}
		return
	}
	state := now.state
	listed := map[string]bool{}
	for _, service := range state.Services() {
		ofService := map[string]bool{}
		for _, srv := range state.ServersOf(service) {
			ofService[srv.ID] = true
			listed[srv.ID] = true
			r.reconcileServer(state, srv, now.peers)
		}
		r.cfg.KeepListed(service, ofService)
	}
	for id, b := range r.backends {
		if !listed[id] {
			r.keepHealth(b)
			b.Close()
			delete(r.backends, id)
		}
	}
	r.forgetUnlisted()
	r.cfg.Selector.Keep(listed, r.rankings())
	r.last = now
	r.ranked = slices.DeleteFunc(slices.Collect(maps.Values(r.backends)), func(b *connector.Backend) bool { return !b.IsGateway() })
}

// rankings returns the rankings of all backends. The caller holds mu.
func (r *Reconciler) rankings() []*selector.Ranking {
	out := make([]*selector.Ranking, 0, len(r.backends))
	for b := range maps.Values(r.backends) {
		out = append(out, &b.Ranking)
	}
	return out
}

func (r *Reconciler) reconcileServer(state *informer.State, srv informer.Server, peers []placer.Peer) {
	b := r.backends[srv.ID]
	if b != nil {
		if had := b.Entry(); had.Born != srv.Born || had.Address != srv.Address {
			b.Close()
			b = nil
		}
	}
	limit, gateways, rank := r.share(state, srv, peers)
	all := connectionLimit(state, srv.Service)
	limits := linker.Limits{Max: limit, Preferred: placer.PreferredConnections(all, limit)}
	isNew := b == nil
	if isNew {
		b = r.newBackend(srv, limits)
		r.backends[srv.ID] = b
	}
	b.SetEntry(srv)
	b.SetGateways(r.cfg.Selector.Gateways(gateways), rank)
	isShared := len(gateways) > 0 && rank < 0
	if isNew {
		return
	}
	r.recordUse(b)
	b.Resize(limits)
	if isShared {
		b.CloseIdle(r.cfg.Clock.Now().Add(-probeIdleTimeout), 0)
		return
	}
	now := r.cfg.Clock.Now()
	if rank > 0 || !state.HasConfiguration() || !state.Configuration.HasTeams() {
		b.CloseIdle(now.Add(-idleTimeout), minOpenConnections)
		return
	}
	b.CloseIdle(now.Add(-idleTimeout), limits.Preferred)
	b.CloseIdle(now.Add(-maxTeamIdleTime), minOpenConnections)
}

func (r *Reconciler) newBackend(srv informer.Server, limits linker.Limits) *connector.Backend {
	return connector.New(connector.Config{
		Server: srv, Limits: limits, Dialer: r.cfg.Dialer, DrainLimit: r.cfg.DrainLimit, Clock: r.cfg.Clock,
		OnDial: func(dial linker.Dial) { r.recordDial(srv.ID, dial) },
	})
}

// Backend returns the listed server with the ID; nil if there is none.
func (r *Reconciler) Backend(id string) *connector.Backend {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.backends[id]
}

// BackendsOf returns the service's servers that accept new work.
func (r *Reconciler) BackendsOf(service string, now time.Time) []*connector.Backend {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []*connector.Backend
	for _, srv := range r.cfg.Informer.State().ServersOf(service) {
		if b := r.backends[srv.ID]; b != nil && r.AcceptsNewWork(b, now) {
			out = append(out, b)
		}
	}
	return out
}

// Scheduled returns the servers whose work this instance schedules as their first
// gateway. Standby gateways know nothing of the queue at the one that does.
func (r *Reconciler) Scheduled(now time.Time) []*connector.Backend {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.DeleteFunc(slices.Clone(r.ranked), func(b *connector.Backend) bool { return !b.IsScheduler(now) })
}

// AcceptsNewWork reports whether a server may get reads that others can run, and work through
// gateways. A draining one gets it for a short time, in case it is the primary and a switchover
// follows. Work that only the primary can run goes to it until it is drained.
func (r *Reconciler) AcceptsNewWork(b *connector.Backend, now time.Time) bool {
	since := b.Entry().DrainingSince
	return !b.IsDrained(now) && (since.IsZero() || now.Sub(since) < min(drainGrace, r.cfg.DrainLimit/2))
}

// drainGrace is how long a server that is seen to drain still gets new work. A
// switchover takes about a second. The time counts from when this instance saw the
// server draining, which may be some seconds after the server began, and it must
// end well before the servers' drain limit.
const drainGrace = 2 * time.Second
