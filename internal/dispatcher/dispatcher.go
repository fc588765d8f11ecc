package dispatcher

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// defaultConnections is the limit of a service that declares none.
	defaultConnections = 20
	// reserveInterval is how often shares of connections are computed again.
	reserveInterval = 500 * time.Millisecond
	// idleLimit is how long a connection above keepOpen may rest. Connections
	// of an instance that lost power count for 3 s against a server's limit:
	// what is not open then is free for the instances that start again.
	idleLimit = 1500 * time.Millisecond
	// lingerTime is how long a server counts connections whose instance has lost
	// power, as the servers' protocol says.
	lingerTime = 3 * time.Second
	// keepOpen connections to each server stay for reports and the next request.
	keepOpen = 1
	// probePriority lets reports go before callers' requests: they are short
	// and proofs wait for them.
	probePriority = -1
)

// errUnknownServer means that a server is not on the list any more.
var errUnknownServer = errors.New("backend server is not listed")

// Dispatcher runs statements on the servers that an informer lists.
type Dispatcher struct {
	cfg     Config
	count   counters
	started time.Time

	mu       sync.RWMutex
	backends map[string]*backend
	groups   map[string]*attester.Group

	stop chan struct{}
	done chan struct{}
}

// New starts a dispatcher.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:      cfg,
		started:  cfg.Clock.Now(),
		count:    newCounters(cfg.Metrics),
		backends: map[string]*backend{},
		groups:   map[string]*attester.Group{},
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	go func() {
		defer close(d.done)
		d.follow()
	}()
	return d
}

// Done returns a channel that is closed when the dispatcher has stopped.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// Close closes all connections that are at rest.
func (d *Dispatcher) Close() {
	close(d.stop)
	<-d.done
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.backends {
		b.Close()
	}
}

func (d *Dispatcher) follow() {
	for {
		changed := d.cfg.Informer.Changed()
		d.reconcile()
		select {
		case <-changed:
		case <-d.cfg.Clock.After(reserveInterval):
		case <-d.stop:
			return
		}
	}
}

// reconcile opens and closes pools as servers come and go.
func (d *Dispatcher) reconcile() {
	state := d.cfg.Informer.State()
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, service := range state.Services() {
		for _, srv := range state.ServersOf(service) {
			listed[srv.ID] = true
			d.reconcileServer(state, srv)
		}
	}
	for id, b := range d.backends {
		if !listed[id] {
			b.Close()
			delete(d.backends, id)
		}
	}
}

func (d *Dispatcher) reconcileServer(state *informer.State, srv informer.Server) {
	b := d.backends[srv.ID]
	if b != nil && (b.server.Born != srv.Born || b.server.Address != srv.Address) {
		b.Close()
		b = nil
	}
	limit := d.share(state, srv)
	if b == nil {
		b = d.newBackend(srv, limit)
		d.backends[srv.ID] = b
		return
	}
	b.mu.Lock()
	b.server = srv
	b.mu.Unlock()
	b.SetLimit(limit)
	b.CloseIdle(d.cfg.Clock.Now().Add(-idleLimit), keepOpen)
}

func (d *Dispatcher) newBackend(srv informer.Server, limit int) *backend {
	b := &backend{id: srv.ID, server: srv}
	b.Pool = linker.NewPool(linker.Config{
		Dialer: d.cfg.Dialer, Target: srv.Target(), Limit: limit, Clock: d.cfg.Clock,
		OnDial: func(err error, started time.Time) {
			now := d.cfg.Clock.Now()
			d.count.dials.Inc(1)
			b.observeDial(now, err)
			if err != nil {
				d.cfg.Log.WithError(err).WithFields(logrus.Fields{"server": srv.ID, "took": now.Sub(started).String()}).
					Debug("dispatcher: cannot connect to the backend server")
			}
		},
	})
	return b
}

func (d *Dispatcher) share(state *informer.State, srv informer.Server) int {
	limit := defaultConnections
	if state.HasConfiguration() {
		if s, ok := state.Configuration.Services[srv.Service]; ok && s.MaxConnections > 0 {
			limit = s.MaxConnections
		}
	}
	near, far := d.cfg.Members(srv.Zone)
	share := placer.Share(limit, near, far, srv.Zone == d.cfg.Zone)
	if d.cfg.Clock.Since(d.started) < lingerTime {
		return placer.StartShare(share)
	}
	return share
}

func (d *Dispatcher) backend(id string) *backend {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.backends[id]
}

// backendsOf returns the service's servers that may get new work.
func (d *Dispatcher) backendsOf(service string, now time.Time) []*backend {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []*backend
	for _, srv := range d.cfg.Informer.State().ServersOf(service) {
		if b := d.backends[srv.ID]; b != nil && d.accepts(srv, now) {
			out = append(out, b)
		}
	}
	return out
}

// accepts reports whether a server may get new work. A draining one gets it for
// a moment longer, in case it leads and hands over.
func (d *Dispatcher) accepts(srv informer.Server, now time.Time) bool {
	return srv.DrainingSince.IsZero() || now.Sub(srv.DrainingSince) < min(drainGrace, d.cfg.DrainLimit/2)
}

// drainGrace is how long a server that is seen to leave still gets new work.
// A change of primary takes about a second. It is counted from when this
// instance saw the sign, which may be some seconds old, and must end well
// before the servers' drain limit.
const drainGrace = 2 * time.Second

// Group returns the leader of the service with its proofs.
func (d *Dispatcher) Group(service string) *attester.Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.groups[service]
	if g == nil {
		g = attester.NewGroup(attester.Config{
			Service: service, Zone: d.cfg.Zone, Prober: d, AskPeers: d.cfg.AskPeers, Clock: d.cfg.Clock, TimeOfDay: d.cfg.TimeOfDay, Log: d.cfg.Log,
			Servers: func() []informer.Server { return d.cfg.Informer.State().ServersOf(service) },
		})
		d.groups[service] = g
	}
	return g
}

// Probe implements [attester.Prober].
func (d *Dispatcher) Probe(srv informer.Server, s exchanger.Statement, deadline time.Time) (exchanger.Report, error) {
	b := d.backend(srv.ID)
	if b == nil {
		return exchanger.Report{}, errUnknownServer
	}
	d.count.probes.Inc(1)
	l, err := b.Pool.Acquire(probePriority, deadline, nil)
	if err != nil {
		return exchanger.Report{}, err
	}
	answers, err := l.RunPlain(deadline, s)
	b.Pool.Release(l, err == nil && answers[0].State == exchanger.Idle)
	if err != nil {
		b.observe(d.cfg.Clock.Now(), 0, exchanger.Success, err)
		return exchanger.Report{}, err
	}
	a := answers[0]
	if !a.OK() {
		return exchanger.Report{}, fmt.Errorf("backend server %s refused to report: %s %s", srv.ID, a.Code, a.Text)
	}
	b.mu.Lock()
	b.answered, b.failures = d.cfg.Clock.Now(), 0
	b.mu.Unlock()
	return *a.Report, nil
}

// Health returns when the server last answered this instance, and how many
// attempts failed since.
func (d *Dispatcher) Health(id string) (answered time.Time, failures int, failed time.Time) {
	if b := d.backend(id); b != nil {
		return b.health()
	}
	return time.Time{}, 0, time.Time{}
}

// PendingSince returns the start of the oldest write at the server that is not
// answered.
func (d *Dispatcher) PendingSince(id string) (time.Time, bool) {
	if b := d.backend(id); b != nil {
		return b.writes.oldest()
	}
	return time.Time{}, false
}

// counters count what the dispatcher does.
type counters struct {
	dials, probes, reads, readsAtReplicas, writes, retries, refusals, unknown metrics.Counter
	latency                                                                   metrics.Histogram
}

// latencySamples bounds the memory of the latency histogram.
const latencySamples = 512

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatcher."+name, r) }
	return counters{
		dials: c("dials"), probes: c("probes"), reads: c("reads"), readsAtReplicas: c("reads_at_replicas"),
		writes: c("writes"), retries: c("retries"), refusals: c("refusals"), unknown: c("unknown_outcomes"),
		latency: metrics.GetOrRegisterHistogram("dispatcher.server_latency_us", r, metrics.NewExpDecaySample(latencySamples, 0.015)),
	}
}
