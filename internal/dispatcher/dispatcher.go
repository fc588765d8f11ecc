package dispatcher

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

const (
	// defaultConnections is the limit of a service that declares none.
	defaultConnections = 20
	// reconcileInterval is how often shares of connections are computed again.
	reconcileInterval = 500 * time.Millisecond
	// idleTimeout is how long a connection above keepOpen may rest. Connections
	// of an instance that lost power count for 3 s against a server's limit:
	// what is not open then is free for the instances that start again.
	idleTimeout = 1500 * time.Millisecond
	// probeIdleTimeout is idleLimit for an instance that is no gateway of the
	// server: its connections serve reports only. It outlives the pause between
	// two of them.
	probeIdleTimeout = 500 * time.Millisecond
	// assumedFleetSize is how many instances share a server's connections as far as an
	// instance knows that has not yet seen the list.
	assumedFleetSize = 16
	// probeConnections are what an instance that is no gateway may open for
	// reports, and for callers while it reaches no gateway.
	probeConnections = 1
	// serverLingerTime is how long a server counts connections whose instance has lost
	// power, as the servers' protocol says.
	serverLingerTime = 3 * time.Second
	// minOpenConnections connections to each server stay for reports and the next request.
	minOpenConnections = 1
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
	peers    map[string]*gateway
	// self stands for this instance among the gateways of a server.
	self *gateway
	plan gatewayPlan

	pinned pinnedConns
	// transactionSeq counts requests to gateways and transactions.
	transactionSeq atomic.Uint64
	isStopping     atomic.Bool

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
		peers:    map[string]*gateway{},
		self:     &gateway{isSelf: true, lostCh: make(chan struct{})},
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
		changed, instances := d.cfg.Informer.Changed(), d.cfg.InstancesChanged()
		d.reconcile()
		d.expirePinnedConns()
		select {
		case <-changed:
		case <-instances:
		case <-d.cfg.Clock.After(reconcileInterval):
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
	answers, err := d.askServer(b, s, deadline)
	if err != nil {
		return exchanger.Report{}, err
	}
	a := answers[0]
	if !a.OK() || a.Report == nil {
		return exchanger.Report{}, fmt.Errorf("backend server %s refused to report: %s %s", srv.ID, a.Code, a.Text)
	}
	b.mu.Lock()
	b.answered, b.failures = d.cfg.Clock.Now(), 0
	b.mu.Unlock()
	return *a.Report, nil
}

// askServer sends a server a statement of the instance itself. Commands and what the
// watch of the primaries asks go over a connection of this instance's, so that
// they depend on no other.
func (d *Dispatcher) askServer(b *backend, s exchanger.Statement, deadline time.Time) ([]exchanger.Answer, error) {
	n := connRequest{priority: probePriority, waitDeadline: deadline, remaining: deadline.Sub(d.cfg.Clock.Now())}
	if s.Kind == exchanger.Status && b.usesGateways() && !b.isGateway() && !d.cfg.IsCoordinator() {
		l := d.newForwardedConn(b, n)
		answers, err := l.RunPlain(deadline, s)
		b.release(l, err == nil && answers[0].State == exchanger.Idle)
		return answers, err
	}
	l, err := b.Pool.Acquire(n.priority, n.waitDeadline, nil)
	if err != nil {
		return nil, err
	}
	answers, err := l.RunPlain(deadline, s)
	b.Pool.Release(l, err == nil && answers[0].State == exchanger.Idle)
	if err != nil {
		b.observe(d.cfg.Clock.Now(), 0, exchanger.Success, err)
	}
	return answers, err
}

// Health returns when the server last answered this instance, and how many
// attempts failed since.
func (d *Dispatcher) Health(id string) (answered time.Time, failures int) {
	if b := d.backend(id); b != nil {
		return b.health()
	}
	return time.Time{}, 0
}

// LackedAt returns when the server last refused a read, of any instance that
// reads through this one, because its log did not cover the read's position.
func (d *Dispatcher) LackedAt(id string) time.Time {
	if b := d.backend(id); b != nil {
		return b.lackedAt()
	}
	return time.Time{}
}

// PendingSince returns the start of the oldest write at the server that is not
// answered.
func (d *Dispatcher) PendingSince(id string) (time.Time, bool) {
	if b := d.backend(id); b != nil {
		return b.writes.oldest()
	}
	return time.Time{}, false
}
