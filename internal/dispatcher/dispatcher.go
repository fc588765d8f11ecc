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
	"marigoldhub.example/hub/internal/reconciler"
	"marigoldhub.example/hub/internal/selector"
)

const (
	// reconcileInterval is how often the shares of connections are recomputed.
	reconcileInterval = 500 * time.Millisecond
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
	// retryBudget limits the tries after refusals at full queues.
	retryBudget retryBudget

	mu     sync.RWMutex
	groups map[string]*attester.Group
	// hedges are the budgets for additional tries of reads by service.
	hedges map[string]*hedger.Budget
	// backends are the listed servers.
	backends *reconciler.Reconciler
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
		cfg:    cfg,
		count:  newCounters(cfg.Metrics),
		groups: map[string]*attester.Group{},
		hedges: map[string]*hedger.Budget{},
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	d.gateways = selector.New(selector.Config{Instance: cfg.Instance, Forwarder: cfg.Forwarder, Stop: d.stop, Clock: cfg.Clock, Log: cfg.Log})
	d.delegator = delegator.New(delegator.Config{
		Instance: cfg.Instance, Zone: cfg.Zone, Forwarder: cfg.Forwarder, Selector: d.gateways, Clock: cfg.Clock, TimeOfDay: cfg.TimeOfDay, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	d.appraiser = appraiser.New(cfg.Clock, cfg.Metrics, cfg.Log)
	d.backends = reconciler.New(reconciler.Config{
		Informer: cfg.Informer, Instances: cfg.Instances, InstancesKnown: cfg.InstancesKnown, Selector: d.gateways, KeepListed: d.appraiser.Keep,
		Dialer: cfg.Dialer, DrainLimit: cfg.DrainLimit, Clock: cfg.Clock, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	d.Executor = executor.New(executor.Config{
		Backend: d.backends.Backend, AcceptsNewWork: d.backends.AcceptsNewWork, LeaveGateways: d.gateways.LeaveGateways, IdleInTransaction: d.idleInTransaction,
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
	d.backends.Close()
}

// follow reconciles with the lists of servers and instances until the dispatcher is
// closed.
func (d *Dispatcher) follow() {
	for {
		changed, instances := d.cfg.Informer.Changed(), d.cfg.InstancesChanged()
		d.backends.Reconcile()
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
	b := d.backends.Backend(srv.ID)
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
		d.backends.RecordUnlisted(srv.ID, errors.As(err, &refused))
		return exchanger.Report{}, err
	}
	defer c.Close()
	answers, err := c.Exchange(deadline, s)
	d.backends.RecordUnlisted(srv.ID, err == nil)
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

// Health returns when the server last answered this instance, and how many
// attempts have failed since; see [reconciler.Reconciler.Health].
func (d *Dispatcher) Health(id string) (answered time.Time, failures int) {
	return d.backends.Health(id)
}

// LastBehind returns when a read of this instance last found that the server's log does
// not cover its position: by the server's answer, or by a report for which it was not tried.
// A report of the server's gateway, which exists only if a read of any instance found that,
// counts as well.
func (d *Dispatcher) LastBehind(id string) time.Time {
	var last time.Time
	if b := d.backends.Backend(id); b != nil {
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
	if b := d.backends.Backend(id); b != nil {
		return b.Writes.Oldest()
	}
	return time.Time{}, false
}
