package overseer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/prober"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/tracker"
)

// InFlightCounter counts the open transactions on primaries.
type InFlightCounter interface {
	// InFlight returns the number of transactions that this instance has open
	// on the primary of the group. A transaction must be counted before the
	// draining mark of the view is read for it, so that 0 during draining means
	// that no further transaction can start.
	InFlight(group string) int
}

// Config configures an [Overseer].
type Config struct {
	// Directory assigns the monitor role of each group to a member.
	Directory enroller.Directory
	// Catalog declares the groups, switchovers and drains.
	Catalog checker.CatalogSource
	// Dialer connects to other instances.
	Dialer messenger.Dialer
	// Connect returns the function that opens control sessions to a server.
	Connect func(group, server string) prober.ConnectFunc
	// InFlight is nil when nothing is ever in flight.
	InFlight InFlightCounter
	// IsLeaving reports whether the platform's list marks the server as
	// leaving. It may be nil.
	IsLeaving func(server string) bool
	// Decline makes the directory prefer other members than the instance for a
	// role for the duration d. It may be nil.
	Decline  func(role, instance string, d time.Duration)
	Clock    clockwork.Clock
	Recorder *recorder.Recorder
	// Log is the standard logger if nil.
	Log logrus.FieldLogger
}

// Overseer keeps the views of all groups in the catalog, and the trackers of the
// groups that this instance monitors. It implements [tracker.ViewSource],
// [confirmer.TrackerSource] and [confirmer.GroupSource].
type Overseer struct {
	cfg  Config
	stop context.CancelFunc
	done chan struct{}

	confirmServer *confirmer.Server
	// isReconfigPending is set while a reconfiguration waits for an established
	// primary. Only reconcile and run use it.
	isReconfigPending bool

	mu     sync.RWMutex
	states map[string]*groupState
	tasks  map[string]*task
}

var (
	_ tracker.ViewSource      = (*Overseer)(nil)
	_ confirmer.TrackerSource = (*Overseer)(nil)
	_ confirmer.GroupSource   = (*Overseer)(nil)
)

// New starts an overseer, which runs until it is closed. The groups of the
// catalog in force are known when it returns.
func New(cfg Config) *Overseer {
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &Overseer{
		cfg:    cfg,
		stop:   cancel,
		done:   make(chan struct{}),
		states: make(map[string]*groupState),
		tasks:  make(map[string]*task),
	}
	o.confirmServer = confirmer.NewServer(o, cfg.Clock)
	changed := cfg.Catalog.Changed()
	o.reconcile(cfg.Catalog.Catalog())
	go func() {
		defer close(o.done)
		o.run(ctx, changed)
		o.closeTasks()
	}()
	return o
}

// Done returns a channel that is closed when the overseer has stopped.
func (o *Overseer) Done() <-chan struct{} { return o.done }

// Close stops the overseer and all tasks, and waits until they have ended.
func (o *Overseer) Close() {
	o.stop()
	<-o.done
}

func (o *Overseer) run(ctx context.Context, changed <-chan struct{}) {
	for {
		var retry <-chan time.Time
		if o.isReconfigPending {
			retry = o.cfg.Clock.After(reconfigRetryInterval)
		}
		select {
		case <-changed:
		case <-retry:
		case <-ctx.Done():
			return
		}
		changed = o.cfg.Catalog.Changed()
		o.reconcile(o.cfg.Catalog.Catalog())
	}
}

// reconcile starts and ends tasks so that they match the catalog. A task whose
// servers changed is restarted with the same group state. The old servers stay
// in use while the reconfiguration is rejected or has to wait.
func (o *Overseer) reconcile(c *checker.Catalog) {
	o.isReconfigPending = false
	declared := make(map[string]bool)
	for _, g := range c.Groups() {
		declared[g.Name] = true
		o.ensureTask(g)
		o.stateOf(g.Name).keepCompleted(declaredSwitchovers(c, g.Name))
	}
	for name, t := range o.currentTasks() {
		if !declared[name] {
			t.close()
			o.forget(name)
		}
	}
}

func declaredSwitchovers(c *checker.Catalog, group string) map[string]bool {
	ids := make(map[string]bool)
	for _, s := range c.Switchovers(group) {
		ids[s.ID] = true
	}
	return ids
}

// ensureTask starts the task of the group, or restarts it if its server list
// changed and the reconfiguration is allowed.
func (o *Overseer) ensureTask(g tracker.Group) {
	old := o.currentTasks()[g.Name]
	if old != nil && slices.Equal(old.group.Servers, g.Servers) {
		old.rejected = nil
		return
	}
	if old != nil {
		switch o.decideReconfig(old, g) {
		case reconfigReject:
			return
		case reconfigLater:
			o.isReconfigPending = true
			return
		}
		old.close()
		old.state.resetEstablished()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state, ok := o.states[g.Name]
	if !ok {
		state = newGroupState(o.cfg.Directory.Self().Instance, g.Name)
		o.states[g.Name] = state
	}
	o.tasks[g.Name] = newTask(o.cfg, g, state)
}

func (o *Overseer) currentTasks() map[string]*task {
	o.mu.RLock()
	defer o.mu.RUnlock()
	tasks := make(map[string]*task, len(o.tasks))
	for name, t := range o.tasks {
		tasks[name] = t
	}
	return tasks
}

// forget removes a group that is no longer declared.
func (o *Overseer) forget(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.tasks, name)
	delete(o.states, name)
}

func (o *Overseer) closeTasks() {
	for _, t := range o.currentTasks() {
		t.close()
	}
}

func (o *Overseer) stateOf(group string) *groupState {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.states[group]
}

// View implements [tracker.ViewSource].
func (o *Overseer) View(group string) (tracker.View, bool) {
	state := o.stateOf(group)
	if state == nil {
		return tracker.View{}, false
	}
	return state.get(o.cfg.Clock.Now()), true
}

// neverClosed is returned for unknown groups.
var neverClosed = make(chan struct{})

// Changed implements [tracker.ViewSource]. The channel of an unknown group is
// never closed.
func (o *Overseer) Changed(group string) <-chan struct{} {
	state := o.stateOf(group)
	if state == nil {
		return neverClosed
	}
	return state.changedChan()
}

// Tracker implements [confirmer.TrackerSource].
func (o *Overseer) Tracker(group string) (*tracker.Tracker, bool) {
	state := o.stateOf(group)
	if state == nil {
		return nil, false
	}
	return state.getTracker()
}

// Group implements [confirmer.GroupSource]. Its servers are those in use, which
// differ from the catalog's while a reconfiguration is rejected or has to wait.
func (o *Overseer) Group(name string) (tracker.Group, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	t, ok := o.tasks[name]
	if !ok {
		return tracker.Group{}, false
	}
	return t.group, true
}
