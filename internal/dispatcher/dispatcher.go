package dispatcher

import (
	"sync"
	"time"

	"marigoldhub.example/hub/internal/appraiser"
	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/chooser"
	"marigoldhub.example/hub/internal/committer"
	"marigoldhub.example/hub/internal/delegator"
	"marigoldhub.example/hub/internal/executor"
	"marigoldhub.example/hub/internal/hedger"
	"marigoldhub.example/hub/internal/inspector"
	"marigoldhub.example/hub/internal/querier"
	"marigoldhub.example/hub/internal/reconciler"
	"marigoldhub.example/hub/internal/selector"
	"marigoldhub.example/hub/internal/surveyor"
	"marigoldhub.example/hub/internal/transactor"
)

// Dispatcher runs statements on the backend servers that an informer lists.
type Dispatcher struct {
	// Executor runs the statements of other instances.
	*executor.Executor
	// Querier asks servers for their status and knows the primaries.
	*querier.Querier
	// Transactor begins transactions.
	*transactor.Transactor
	cfg   Config
	count counters

	mu sync.Mutex
	// hedges are the budgets for additional tries of reads by service.
	hedges map[string]*hedger.Budget
	// backends are the listed servers.
	backends *reconciler.Reconciler
	// gateways knows the gateways of the servers.
	gateways *selector.Selector
	// delegator sends statements to them.
	delegator *delegator.Delegator
	// attempts sends statements to servers.
	attempts *attempter.Attempter
	// places chooses the servers for reads.
	places *chooser.Chooser
	// commits answers commits.
	commits *committer.Committer
	// inspector knows which replicas are behind.
	inspector *inspector.Inspector
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
		Informer: cfg.Informer, Instances: cfg.Instances, InstancesKnown: cfg.InstancesKnown, Seeds: cfg.Seeds, IsCoordinator: cfg.IsCoordinator, Selector: d.gateways, KeepListed: d.appraiser.Keep,
		Dialer: cfg.Dialer, DrainLimit: cfg.DrainLimit, Clock: cfg.Clock, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	d.Querier = querier.New(querier.Config{
		Backends: d.backends, Informer: cfg.Informer, Dialer: cfg.Dialer, Delegator: d.delegator, IsCoordinator: cfg.IsCoordinator, AskPeers: cfg.AskPeers,
		Clock: cfg.Clock, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	d.inspector = inspector.New(inspector.Config{
		Scheduled: d.backends.Scheduled, Querier: d.Querier, Informer: cfg.Informer, PositionAt: cfg.PositionAt, Stop: d.stop, Clock: cfg.Clock, Metrics: cfg.Metrics,
	})
	d.attempts = attempter.New(attempter.Config{
		Groups: d.Querier, Backends: d.backends, Delegator: d.delegator, Appraiser: d.appraiser, Instances: cfg.Instances,
		Clock: cfg.Clock, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	d.places = chooser.New(chooser.Config{
		Zone: cfg.Zone, Groups: d.Querier, Backends: d.backends, Informer: cfg.Informer, Inspector: d.inspector, Appraiser: d.appraiser, Attempter: d.attempts,
		WaitAt: cfg.WaitAt, OtherZoneCost: cfg.OtherZoneCost, Clock: cfg.Clock, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	d.commits = committer.New(committer.Config{Informer: cfg.Informer, Clock: cfg.Clock, Metrics: cfg.Metrics, Log: cfg.Log})
	d.Transactor = transactor.New(transactor.Config{
		Groups: d.Querier, Backends: d.backends, Delegator: d.delegator, Attempter: d.attempts, Chooser: d.places, Committer: d.commits,
		Clock: cfg.Clock, Log: cfg.Log,
	})
	d.Executor = executor.New(executor.Config{
		Backend: d.backends.Backend, AcceptsNewWork: d.backends.AcceptsNewWork, LeaveGateways: d.gateways.LeaveGateways, IdleInTransaction: d.idleInTransaction,
		Appraiser: d.appraiser, Clock: cfg.Clock, Metrics: cfg.Metrics, Log: cfg.Log,
	})
	go func() {
		defer close(d.done)
		d.follow()
		<-d.inspector.Done()
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
		case <-d.cfg.Clock.After(d.backends.Interval()):
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

// Health returns when the server last answered this instance, and how many
// attempts have failed since; see [reconciler.Reconciler.Health].
func (d *Dispatcher) Health(id string) (answered time.Time, failures int) {
	return d.backends.Health(id)
}

// Waits returns the waits at the busy servers whose work this instance schedules, and
// the positions of those that are replicas and behind.
func (d *Dispatcher) Waits() []surveyor.Report { return d.inspector.Waits() }

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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
