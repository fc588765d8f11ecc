package dispatcher

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
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
	// scarceIdleLimit is idleLimit while a server has fewer connections than
	// there are instances. A new connection takes 12 ms of a slot, about as much
	// as a request, so that one that will be used again soon should stay.
	scarceIdleLimit = 200 * time.Millisecond
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
func (d *Dispatcher) Health(id string) (answered time.Time, failures int) {
	if b := d.backend(id); b != nil {
		return b.health()
	}
	return time.Time{}, 0
}

// PendingSince returns the start of the oldest write at the server that is not
// answered.
func (d *Dispatcher) PendingSince(id string) (time.Time, bool) {
	if b := d.backend(id); b != nil {
		return b.writes.oldest()
	}
	return time.Time{}, false
}
