package replacer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

const (
	// checkInterval is how often each service is checked. It is short compared with
	// failureTimeout.
	checkInterval = 100 * time.Millisecond
	// probeAfter is how long the primary may be silent before it is probed.
	probeAfter = 200 * time.Millisecond
	// probeTimeout is how long the response to a probe may take. It is shorter than
	// failureTimeout so that two attempts fit.
	probeTimeout = 250 * time.Millisecond
	// failureTimeout is how long the primary must have been silent to have failed. A
	// shorter one would take a lost packet, which is sent again after 200 ms, for a
	// failure.
	failureTimeout = 600 * time.Millisecond
	// refusedTimeout is the failureTimeout of a primary that refuses connections.
	refusedTimeout = 200 * time.Millisecond
	// minFailures is how many attempts to reach the primary must have failed.
	minFailures = 2
	// stallTimeout is how long a write may be unanswered before the replicas are
	// compared with the primary. A request takes at most 45 ms, and the queue of 24
	// requests at three slots up to 360 ms.
	stallTimeout = 500 * time.Millisecond
)

// Replacer checks the primaries of all services while this instance is the
// coordinator, in one task for each service.
type Replacer struct {
	cfg      Config
	replaced metrics.Counter
	metrics  changeMetrics

	mu    sync.Mutex
	tasks map[string]*task

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a replacer.
func New(cfg Config) *Replacer {
	r := &Replacer{
		cfg: cfg, tasks: map[string]*task{}, done: make(chan struct{}),
		replaced: metrics.GetOrRegisterCounter("replacer.replaced", cfg.Metrics), metrics: newChangeMetrics(cfg.Metrics),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(r.done)
		r.run()
	}()
	return r
}

// Done returns a channel that is closed when the replacer has stopped.
func (r *Replacer) Done() <-chan struct{} { return r.done }

// Close stops the replacer. A change in progress is left to the next coordinator.
func (r *Replacer) Close() {
	r.cancel()
	<-r.done
}

func (r *Replacer) run() {
	for {
		select {
		case <-r.cfg.Clock.After(checkInterval):
		case <-r.ctx.Done():
			for _, t := range r.tasks {
				<-t.done
			}
			return
		}
		r.startTasks()
	}
}

// startTasks starts a task for each service of the configuration, whether or not
// this instance is the coordinator: a task that runs before knows which servers
// were listed when it has to act.
func (r *Replacer) startTasks() {
	state := r.cfg.Informer.State()
	if !state.HasConfiguration() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, service := range state.Configuration.Services {
		if r.tasks[name] == nil && len(state.ServersOf(name)) > 1 {
			r.tasks[name] = newTask(r, service)
		}
	}
}

// task checks one service and changes its primary.
type task struct {
	*Replacer
	service informer.Service
	log     logrus.FieldLogger
	// unreachableSince is when the primary was first found unreachable; zero while
	// it can be reached.
	unreachableSince time.Time
	// leaderlessSince is since when no primary has been known.
	leaderlessSince time.Time
	// blockedSince is since when a failover has waited for servers.
	blockedSince time.Time
	// lag observes replicas that are behind, at nextLagCheck the next time.
	lag          lagMonitor
	nextLagCheck time.Time
	// lastListed holds the servers that are listed or were a short time ago.
	lastListed map[string]listing
	// replicaLogs are the logs of servers that were replicas in changes of this process.
	replicaLogs replicaLogs
	// departed is the last departure of a server.
	departed departure
	// refreshed is when the last list was requested that was read in this change; zero if
	// none was.
	refreshed time.Time
	done      chan struct{}
	// change is the change of primary in progress; nil if there is none. changes counts
	// those of the tenure changesToken.
	change       *change
	changes      int
	changesToken int64

	// settledToken is the tenure in which the servers showed no unfinished change;
	// guarded by leaseMu.
	settledToken int64
	tenureToken  int64
	tenureSince  time.Time

	// leasedUntil and switchoverUntil are the ends of the last lease and the last
	// switchover lease. While changing is set, only switchover leases are granted, and
	// only if switchoverLease has a next primary.
	leaseMu                      sync.Mutex
	leasedUntil, switchoverUntil time.Time
	changing                     bool
	switchoverLease              PrimaryLease
	// pending is the last call to the platform; guarded by leaseMu.
	pending pendingCall
}

func newTask(r *Replacer, service informer.Service) *task {
	t := &task{
		Replacer: r, service: service, log: r.cfg.Log.WithField("service", service.Name), lastListed: map[string]listing{}, replicaLogs: replicaLogs{},
		done: make(chan struct{}),
	}
	go func() {
		defer close(t.done)
		for t.ctx.Err() == nil {
			t.recordListed()
			t.recordTenure()
			if t.cfg.Election.IsCoordinator() {
				t.check()
			} else {
				t.unreachableSince, t.leaderlessSince, t.blockedSince = time.Time{}, time.Time{}, time.Time{}
			}
			t.sleep(checkInterval)
		}
	}()
	return t
}

func (t *task) sleep(d time.Duration) {
	select {
	case <-t.cfg.Clock.After(d):
	case <-t.ctx.Done():
	}
}

func (t *task) group() *attester.Group { return t.cfg.Backends.Group(t.service.Name) }

// listed returns the listed servers of the service.
func (t *task) listed() []informer.Server { return t.cfg.Informer.State().ServersOf(t.service.Name) }

// servers returns the listed servers of the service without those that have been
// replaced at their addresses, as far as the list shows. An entry of another writer may
// have the address of a server, so commands go to all listed servers (see identify).
func (t *task) servers() []informer.Server { return withoutReplaced(t.listed()) }

// withoutReplaced returns the servers without those whose address a later one has: a
// server that crashed comes back under another id, and its old entry stays listed
// until it expires.
func withoutReplaced(servers []informer.Server) []informer.Server {
	newest := map[string]int64{}
	for _, srv := range servers {
		newest[srv.Address] = max(newest[srv.Address], srv.Born)
	}
	return slices.DeleteFunc(slices.Clone(servers), func(srv informer.Server) bool { return srv.Born < newest[srv.Address] })
}

// check checks the service once and changes its primary if necessary.
func (t *task) check() {
	l, ok := t.group().Leader()
	if !ok {
		t.checkLeaderless()
		return
	}
	t.leaderlessSince = time.Time{}
	srv, listed := t.cfg.Informer.State().Server(t.service.Name, l.Server.ID)
	switch {
	case listed && srv.Born != l.Server.Born:
		// A restarted server is no longer the primary, as its report will show.
		t.group().Suspect(l.Server.ID, "restarted")
	case !listed:
		// No instance sends it requests.
		t.failover(l, "not listed", "")
	case !t.isReachable(l):
		if t.isFailureConfirmed(l) {
			t.failover(l, "out of reach", "")
		}
	case !t.isSettled(l):
		t.failover(l, "an earlier change was not finished", "")
	case t.isStalled(l):
		t.failover(l, "commits are not acknowledged", "")
	case listed && srv.Draining:
		t.coverDeparture(l)
		t.switchover(l, "the primary leaves")
	default:
		t.coverDeparture(l)
		t.checkReplicaLag(l)
	}
}

// checkLeaderless looks for a primary when none is known and starts a failover if
// there is none for failureTimeout.
func (t *task) checkLeaderless() {
	now := t.cfg.Clock.Now()
	if t.leaderlessSince.IsZero() {
		t.leaderlessSince = now
	}
	best, found := attester.NewestLeader(t.group().Survey())
	if found {
		t.group().Learn(best, "survey")
		return
	}
	if now.Sub(t.leaderlessSince) >= failureTimeout {
		l, _ := t.group().Leader()
		t.failover(l, "no server leads", "")
	}
}

// isReachable probes a primary that has been silent. It returns false when the
// primary has answered nothing for too long. Any response counts: a busy primary
// may be late with the report.
func (t *task) isReachable(l attester.Leader) bool {
	now := t.cfg.Clock.Now()
	answered, failures := t.cfg.Backends.Health(l.Server.ID)
	if now.Sub(answered) < probeAfter && failures == 0 {
		t.unreachableSince, t.blockedSince = time.Time{}, time.Time{}
		return true
	}
	r, err := t.cfg.Backends.Probe(l.Server, exchanger.Statement{Kind: exchanger.Status}, now.Add(probeTimeout))
	if err == nil {
		t.unreachableSince, t.blockedSince = time.Time{}, time.Time{}
		if r.Role != exchanger.Primary {
			t.group().Suspect(l.Server.ID, "reports that it does not lead")
		}
		return true
	}
	if t.unreachableSince.IsZero() {
		t.unreachableSince = now
	}
	limit := failureTimeout
	if isRefused(err) {
		limit = refusedTimeout
	}
	answered, failures = t.cfg.Backends.Health(l.Server.ID)
	silent := t.cfg.Clock.Since(later(answered, t.unreachableSince.Add(-probeAfter)))
	return failures < minFailures || silent < limit
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isStalled reports whether the primary has commits that no replica receives, by
// two surveys in a row.
func (t *task) isStalled(l attester.Leader) bool {
	since, pending := t.cfg.Backends.PendingSince(l.Server.ID)
	if !pending || t.cfg.Clock.Since(since) < stallTimeout {
		return false
	}
	first, ok := newestReplica(t.group().Survey(), l)
	if !ok {
		return false
	}
	t.sleep(checkInterval)
	second, ok := newestReplica(t.group().Survey(), l)
	return ok && second.behind && first.behind && second.received == first.received
}
