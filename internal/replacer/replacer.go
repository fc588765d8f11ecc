package replacer

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

const (
	// checkInterval is how often each service is looked at. It is short against
	// the time in which a failure counts.
	checkInterval = 100 * time.Millisecond
	// quietLimit is how long the primary may not have answered before it is
	// asked.
	quietLimit = 200 * time.Millisecond
	// askLimit is how long the answer may take. It must be shorter than
	// failureLimit so that two attempts fit.
	askLimit = 250 * time.Millisecond
	// failureLimit is how long the primary must not have answered anything. A
	// shorter one would take a lost packet, sent again after 200 ms, for a failure.
	failureLimit = 600 * time.Millisecond
	// refusedLimit is the same for a primary that refuses connections.
	refusedLimit = 200 * time.Millisecond
	// minFailures is how many attempts must have failed.
	minFailures = 2
	// stallLimit is how long a write may go unanswered before the replicas are
	// compared with the primary. Work takes at most 45 ms, the queue of 24
	// requests at three slots up to 360 ms.
	stallLimit = 500 * time.Millisecond
)

// Replacer watches the primaries of all services while this instance holds the
// duty, one task for each service.
type Replacer struct {
	cfg      Config
	replaced metrics.Counter

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
		replaced: metrics.GetOrRegisterCounter("replacer.replaced", cfg.Metrics),
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

// Close stops the replacer. A change in progress is left to the next holder.
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

// startTasks starts a task for each service of the configuration, with or
// without the duty: it knows the servers when the duty comes.
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

// task watches one service.
type task struct {
	*Replacer
	service informer.Service
	log     logrus.FieldLogger
	// failing is since when the primary has been out of reach.
	failing time.Time
	// leaderless is since when no primary has been known.
	leaderless time.Time
	// stuck is since when a change has waited for servers.
	stuck time.Time
	// congestion is what was seen of replicas that are behind; nextLook is when
	// they may be looked at again.
	congestion congestion
	nextLook   time.Time
	// known holds the servers that have not left.
	known map[string]sighting
	done  chan struct{}

	// settledToken is the tenure in which the servers showed no unfinished change.
	settledToken int64
	tenureToken  int64
	tenureSince  time.Time

	promiseMu     sync.Mutex
	promisedUntil time.Time
	changing      bool
}

func newTask(r *Replacer, service informer.Service) *task {
	t := &task{
		Replacer: r, service: service, log: r.cfg.Log.WithField("service", service.Name), known: map[string]sighting{},
		done: make(chan struct{}),
	}
	go func() {
		defer close(t.done)
		for t.ctx.Err() == nil {
			t.remember()
			if t.cfg.Duty.IsHolding() {
				t.check()
			} else {
				t.failing, t.leaderless, t.stuck = time.Time{}, time.Time{}, time.Time{}
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

func (t *task) group() *attester.Group { return t.cfg.Fleet.Group(t.service.Name) }

func (t *task) servers() []informer.Server {
	return t.cfg.Informer.State().ServersOf(t.service.Name)
}

// check looks at the primary once and replaces it if it must be.
func (t *task) check() {
	l, ok := t.group().Leader()
	if !ok {
		t.checkLeaderless()
		return
	}
	t.leaderless = time.Time{}
	srv, listed := t.cfg.Informer.State().Server(t.service.Name, l.Server.ID)
	switch {
	case listed && srv.Born != l.Server.Born:
		// A primary that restarted leads no more; its report tells.
		t.group().Suspect(l.Server.ID, "restarted")
	case !t.isReachable(l):
		t.replace(l, "out of reach")
	case !t.isSettled(l):
		t.replace(l, "an earlier change was not finished")
	case t.isStalled(l):
		t.replace(l, "commits are not acknowledged")
	case listed && srv.Draining:
		t.handOver(l, "the primary leaves")
	default:
		t.relieve(l)
	}
}

func (t *task) checkLeaderless() {
	now := t.cfg.Clock.Now()
	if t.leaderless.IsZero() {
		t.leaderless = now
	}
	best, found := attester.NewestLeader(t.group().Survey())
	if found {
		t.group().Learn(best, "survey")
		return
	}
	if now.Sub(t.leaderless) >= failureLimit {
		l, _ := t.group().Leader()
		t.replace(l, "no server leads")
	}
}

// isReachable asks a primary that has been quiet and reports false when it has
// answered nothing for long enough. Any answer counts: a busy primary may keep
// a report waiting.
func (t *task) isReachable(l attester.Leader) bool {
	now := t.cfg.Clock.Now()
	answered, failures := t.cfg.Fleet.Health(l.Server.ID)
	if now.Sub(answered) < quietLimit && failures == 0 {
		t.failing = time.Time{}
		return true
	}
	r, err := t.cfg.Fleet.Probe(l.Server, exchanger.Statement{Kind: exchanger.Status}, now.Add(askLimit))
	if err == nil {
		t.failing = time.Time{}
		if r.Role != exchanger.Primary {
			t.group().Suspect(l.Server.ID, "reports that it does not lead")
		}
		return true
	}
	if t.failing.IsZero() {
		t.failing = now
	}
	limit := failureLimit
	if isRefused(err) {
		limit = refusedLimit
	}
	answered, failures = t.cfg.Fleet.Health(l.Server.ID)
	silent := t.cfg.Clock.Since(later(answered, t.failing.Add(-quietLimit)))
	return failures < minFailures || silent < limit
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isStalled reports whether the primary has commits that no replica receives.
func (t *task) isStalled(l attester.Leader) bool {
	since, pending := t.cfg.Fleet.PendingSince(l.Server.ID)
	if !pending || t.cfg.Clock.Since(since) < stallLimit {
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
