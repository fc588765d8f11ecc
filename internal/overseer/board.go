package overseer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// maxPause is the time for which instances hold back new work for a planned
// change. A mark that is older belongs to a monitor that died.
const maxPause = 200 * time.Millisecond

// groupState holds what this instance knows about one group. It outlives changes of
// the duty and of the group's servers.
type groupState struct {
	mu   sync.Mutex
	self string
	// tracker is set while this instance monitors the group.
	tracker *tracker.Tracker
	view    tracker.View
	// drainingSince is the time at which the draining mark of view was learnt.
	drainingSince time.Time
	seq           uint64

	// changed is closed when term, primary or draining mark change; updated is
	// closed when seq grows.
	changed chan struct{}
	updated chan struct{}

	pause workPause
	// declinedUntilTime is the time until which this instance declines the duty.
	declinedUntilTime time.Time
	// established is set when a view named the primary under the present
	// servers of the group.
	established bool
	// completed are the switchovers that have taken effect.
	completed map[string]bool
}

// workPause is the request to hold back work for the primary of a term.
type workPause struct {
	on   bool
	term uint64
	// seq is the first sequence number of views that carry the request.
	seq uint64
	// reports are the numbers of transactions in flight by instance.
	reports map[string]int
}

func newGroupState(self, group string) *groupState {
	return &groupState{
		self:      self,
		view:      tracker.View{Group: group},
		changed:   make(chan struct{}),
		updated:   make(chan struct{}),
		completed: make(map[string]bool),
	}
}

func (g *groupState) setTracker(t *tracker.Tracker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker = t
	g.pause = workPause{}
}

func (g *groupState) getTracker() (*tracker.Tracker, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker, g.tracker != nil
}

// publish takes a view that this instance made as the monitor.
func (g *groupState) publish(v tracker.View, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteEstablished(v)
	g.publishLocked(v, now)
}

func (g *groupState) noteEstablished(v tracker.View) {
	g.established = g.established || v.Term > 0 && v.Primary != ""
}

func (g *groupState) isEstablished() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.established
}

// resetEstablished notes that the servers of the group change.
func (g *groupState) resetEstablished() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.established = false
}

func (g *groupState) publishLocked(v tracker.View, now time.Time) {
	if !g.isCurrent(v) {
		v = g.view
	}
	v.Draining = g.pause.on && g.pause.term == v.Term
	v.Monitor = g.self
	if g.view.Monitor != g.self || isUrgent(g.view, v) {
		g.advanceSeq()
	}
	v.Seq = g.seq
	g.replace(v, now)
}

func (g *groupState) advanceSeq() {
	g.seq++
	close(g.updated)
	g.updated = make(chan struct{})
}

// accept takes a view of another monitor.
func (g *groupState) accept(v tracker.View, completed []string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteEstablished(v)
	for _, id := range completed {
		g.completed[id] = true
	}
	if g.tracker == nil && g.isCurrent(v) {
		g.replace(v, now)
	}
}

// isCurrent reports whether v may replace the view. A monitor that saw a term
// established, but not its primary, knows less than a view that names it.
func (g *groupState) isCurrent(v tracker.View) bool {
	if v.Term == g.view.Term {
		return v.Primary != "" || g.view.Primary == ""
	}
	return v.Term > g.view.Term
}

func (g *groupState) replace(v tracker.View, now time.Time) {
	old := g.view
	g.view = v
	if v.Draining && !old.Draining {
		g.drainingSince = now
	}
	if changesRouting(old, v) {
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// changesRouting reports whether the views differ in where new work for the primary
// may go.
func changesRouting(old, v tracker.View) bool {
	return old.Term != v.Term || old.Primary != v.Primary || old.Draining != v.Draining || old.Replaced != v.Replaced
}

// isUrgent reports whether other instances should learn the new view at once.
func isUrgent(old, v tracker.View) bool {
	if changesRouting(old, v) {
		return true
	}
	return !slices.EqualFunc(old.Replicas, v.Replicas, func(a, b tracker.ReplicaView) bool {
		return a.Server == b.Server && a.Reachable == b.Reachable && a.Leaving == b.Leaving
	})
}

func (g *groupState) get(now time.Time) tracker.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.Draining && now.Sub(g.drainingSince) > maxPause {
		return g.view.WithDraining(false)
	}
	return g.view
}

// awaitUpdate returns the channel that is closed when seq grows past the given one,
// and false when the caller already knows the newest view.
func (g *groupState) awaitUpdate(monitor string, seq uint64) (<-chan struct{}, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.updated, monitor != g.self || seq < g.seq
}

func (g *groupState) changedChan() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// startPause marks the view as draining.
func (g *groupState) startPause(term uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = workPause{on: true, term: term, seq: g.seq + 1, reports: make(map[string]int)}
	g.publishLocked(g.view, now)
}

func (g *groupState) endPause(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = workPause{}
	g.publishLocked(g.view, now)
}

// recordReport notes the work in flight at another instance. Reports that belong to
// an earlier hold are ignored.
func (g *groupState) recordReport(instance, monitor string, seq uint64, inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause.on && inFlight >= 0 && monitor == g.self && seq >= g.pause.seq {
		g.pause.reports[instance] = inFlight
	}
}

// isIdle reports whether all named instances reported nothing in flight.
func (g *groupState) isIdle(instances []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range instances {
		n, ok := g.pause.reports[name]
		if !ok || n > 0 {
			return false
		}
	}
	return g.pause.on
}

func (g *groupState) complete(id string) {
	if id == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.completed[id] = true
	g.advanceSeq()
	g.view.Seq = g.seq
}

func (g *groupState) isCompleted(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.completed[id]
}

// keepCompleted forgets switchovers that are no longer declared.
func (g *groupState) keepCompleted(declared map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.completed, func(id string, _ bool) bool { return !declared[id] })
}

func (g *groupState) completedIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.completed))
}

func (g *groupState) decline(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.declinedUntilTime = until
}

func (g *groupState) declinedUntil() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.declinedUntilTime
}
