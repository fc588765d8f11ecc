package dispatcher

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/appraiser"
	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/delegator"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/executor"
	"marigoldhub.example/hub/internal/hedger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/selector"
)

const (
	// defaultConnections is the connection limit of a service that declares none.
	defaultConnections = 20
	// reconcileInterval is how often the shares of connections are recomputed.
	reconcileInterval = 500 * time.Millisecond
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
	// assumedFleetSize is the number of instances that share a server's connections,
	// as assumed by an instance that has not yet received the list of instances.
	assumedFleetSize = 16
	// probeConnections is how many connections an instance that is no gateway may
	// open, for status queries and for callers while no gateway is reachable.
	probeConnections = 1
	// serverLingerTime is how long a server counts connections whose instance has
	// lost power, according to the servers' protocol.
	serverLingerTime = 3 * time.Second
	// minOpenConnections connections to each server stay open for status queries
	// and the next request.
	minOpenConnections = 1
	// probePriority puts status queries before callers' requests: they are short,
	// and reads wait for what they confirm.
	probePriority = -1
)

// errUnknownServer means that a server is not listed any more.
var errUnknownServer = errors.New("backend server is not listed")

// Dispatcher runs statements on the backend servers that an informer lists.
type Dispatcher struct {
	// Executor runs the statements of other instances.
	*executor.Executor
	cfg   Config
	count counters
	order *orderCounters
	// retryBudget limits the tries after refusals at full queues.
	retryBudget retryBudget
	started     time.Time

	mu       sync.RWMutex
	backends map[string]*connector.Backend
	// unlisted is the health of servers without a pool.
	unlisted map[string]unlistedHealth
	groups   map[string]*attester.Group
	// hedges are the budgets for additional tries of reads by service.
	hedges map[string]*hedger.Budget
	// gateways knows the gateways of the servers.
	gateways *selector.Selector
	// delegator sends statements to them.
	delegator *delegator.Delegator
	// appraiser grades the servers by their answers to reads.
	appraiser *appraiser.Appraiser

	stop chan struct{}
	done chan struct{}
}

// New returns a dispatcher and starts its background work.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:      cfg,
		started:  cfg.Clock.Now(),
		count:    newCounters(cfg.Metrics),
		order:    newOrderCounters(cfg.Metrics),
		backends: map[string]*connector.Backend{},
		unlisted: map[string]unlistedHealth{},
		groups:   map[string]*attester.Group{},
		hedges:   map[string]*hedger.Budget{},
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	d.gateways = selector.New(selector.Config{Instance: cfg.Instance, Forwarder: cfg.Forwarder, Stop: d.stop, Clock: cfg.Clock, Log: cfg.Log})
	d.delegator = delegator.New(delegator.Config{
		Instance: cfg.Instance, Zone: cfg.Zone, Forwarder: cfg.Forwarder, Selector: d.gateways, Clock: cfg.Clock, TimeOfDay: cfg.TimeOfDay, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	d.appraiser = appraiser.New(cfg.Clock, cfg.Metrics, cfg.Log)
	d.Executor = executor.New(executor.Config{
		Backend: d.backend, AcceptsNewWork: d.acceptsNewWork, LeaveGateways: d.gateways.LeaveGateways, IdleInTransaction: d.idleInTransaction,
		Appraiser: d.appraiser, Clock: cfg.Clock, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	go func() {
		defer close(d.done)
		var wg sync.WaitGroup
		wg.Go(d.followPositions)
		d.follow()
		wg.Wait()
	}()
	return d
}

// Done returns a channel that is closed when the background work has stopped.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// Close stops the background work and closes all idle connections; others are
// closed when they are released.
func (d *Dispatcher) Close() {
	close(d.stop)
	<-d.done
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.backends {
		b.Close()
	}
}

// follow reconciles with the lists of servers and instances until the dispatcher is
// closed.
func (d *Dispatcher) follow() {
	for {
		changed, instances := d.cfg.Informer.Changed(), d.cfg.InstancesChanged()
		d.reconcile()
		d.ExpireTransactions()
		select {
		case <-changed:
		case <-instances:
		case <-d.cfg.Clock.After(reconcileInterval):
		case <-d.stop:
			return
		}
	}
}

// idleInTransaction returns how long a transaction may be idle; 0 without a limit.
func (d *Dispatcher) idleInTransaction() time.Duration {
	if c := d.cfg.Informer.State().Configuration; c != nil {
		return c.IdleInTransaction
	}
	return 0
}

// Group returns what is known of the service's primary, including its samples and
// leases. It creates the group at the first call.
func (d *Dispatcher) Group(service string) *attester.Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.groups[service]
	if g == nil {
		g = attester.NewGroup(attester.Config{
			Service: service, Prober: d, AskPeers: d.cfg.AskPeers, Clock: d.cfg.Clock, Log: d.cfg.Log,
			Servers: func() []informer.Server { return d.cfg.Informer.State().ServersOf(service) },
		})
		d.groups[service] = g
	}
	return g
}

// Probe sends a server a status query or command that this instance itself issues,
// not one of a caller, and returns the server's report. It implements [attester.Prober].
// The server need not be listed: one whose entry is missing may still run.
func (d *Dispatcher) Probe(srv informer.Server, s exchanger.Statement, deadline time.Time) (exchanger.Report, error) {
	d.count.probes.Inc(1)
	b := d.backend(srv.ID)
	if b == nil {
		return d.probeUnlisted(srv, s, deadline)
	}
	answers, err := d.askServer(b, s, deadline)
	if err != nil {
		return exchanger.Report{}, err
	}
	r, err := reportOf(srv, answers[0])
	if err == nil {
		b.RecordAnswer(d.cfg.Clock.Now())
	}
	return r, err
}

// probeUnlisted is Probe for a server without a pool, on a connection of its own.
func (d *Dispatcher) probeUnlisted(srv informer.Server, s exchanger.Statement, deadline time.Time) (exchanger.Report, error) {
	c, err := d.cfg.Dialer.Dial(srv.Target(), deadline)
	if err != nil {
		var refused *exchanger.RefusedError
		d.recordUnlisted(srv.ID, errors.As(err, &refused))
		return exchanger.Report{}, err
	}
	defer c.Close()
	answers, err := c.Exchange(deadline, s)
	d.recordUnlisted(srv.ID, err == nil)
	if err != nil {
		return exchanger.Report{}, err
	}
	return reportOf(srv, answers[0])
}

// reportOf returns the report that the server's answer contains.
func reportOf(srv informer.Server, a exchanger.Answer) (exchanger.Report, error) {
	if !a.OK() || a.Report == nil {
		return exchanger.Report{}, fmt.Errorf("backend server %s refused to report: %s %s", srv.ID, a.Code, a.Text)
	}
	return *a.Report, nil
}

// askServer sends a server a statement of the instance itself. Commands, and the
// status queries of the coordinator, use a connection of this instance, so that
// they do not depend on another one.
func (d *Dispatcher) askServer(b *connector.Backend, s exchanger.Statement, deadline time.Time) ([]exchanger.Answer, error) {
	cr := connector.Request{IsOwn: true, Priority: probePriority, WaitDeadline: deadline, Remaining: deadline.Sub(d.cfg.Clock.Now())}
	if s.Kind == exchanger.Status && b.UsesGateways() && !b.IsGateway() && !d.cfg.IsCoordinator() {
		c := d.delegator.NewConn(b, cr)
		answers, err := c.RunPlain(deadline, s)
		c.Release(err == nil && answers[0].State == exchanger.Idle)
		return answers, err
	}
	c, err := b.AcquireOutOfSlot(cr)
	if err != nil {
		return nil, err
	}
	answers, err := c.RunPlain(deadline, s)
	b.Pool.Release(c, err == nil && answers[0].State == exchanger.Idle)
	if err != nil {
		b.ObserveQueryFailure(d.cfg.Clock.Now())
	}
	return answers, err
}

// LastBehind returns when a read of this instance last found that the server's log does
// not cover its position: by the server's answer, or by a report for which it was not tried.
// A report of the server's gateway, which exists only if a read of any instance found that,
// counts as well.
func (d *Dispatcher) LastBehind(id string) time.Time {
	var last time.Time
	if b := d.backend(id); b != nil {
		last = latest(b.LackedAt(), b.PassedOverAt())
	}
	if d.cfg.PositionAt == nil {
		return last
	}
	if _, at, ok := d.cfg.PositionAt(id); ok {
		return latest(last, at)
	}
	return last
}

// MarkUnreachable makes requests avoid the named instances as gateways until they
// answer again. Reads that wait for an answer of theirs are tried elsewhere.
func (d *Dispatcher) MarkUnreachable(names []string) { d.gateways.MarkUnreachable(names) }

// PendingSince returns when the oldest unanswered write was sent to the server;
// false if there is none.
func (d *Dispatcher) PendingSince(id string) (time.Time, bool) {
	if b := d.backend(id); b != nil {
		return b.Writes.Oldest()
	}
	return time.Time{}, false
}
