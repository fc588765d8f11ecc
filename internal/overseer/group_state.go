package overseer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// maxPause is the longest time for which instances pause new work for a planned
// change. An older draining mark comes from a monitor that died.
const maxPause = 200 * time.Millisecond

// groupState holds what this instance knows about one group. It outlives moves
// of the monitor role and reconfigurations of the group.
type groupState struct {
	mu   sync.Mutex
	self string
	// tracker is set while this instance monitors the group.
	tracker *tracker.Tracker
	view    tracker.View
	// drainingSince is the time at which this instance first saw the draining
	// mark of view.
	drainingSince time.Time
	// seq is the sequence number of the newest view that this instance published
	// as the monitor.
	seq uint64

	// changed is closed when a change of the view affects routing; see
	// changesRouting.
	changed chan struct{}
	// updated is closed when seq grows.
	updated chan struct{}

	pause workPause
	// declineUntil is the time until which this instance declines the
	// monitor role.
	declineUntil time.Time
	// established is set when a view named the primary since the last
	// reconfiguration of the group.
	established bool
	// completed are the identifiers of the switchovers that took effect.
	completed map[string]bool
}

// workPause is a request to all instances to pause new work on the primary of a
// term.
type workPause struct {
	on   bool
	term uint64
	// seq is the lowest sequence number of views that carry the request.
	seq uint64
	// reports is the number of transactions in flight at each instance.
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

// setTracker sets the tracker while this instance monitors the group, and nil
// afterwards. It clears the work pause.
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

// publish sets the view that this instance made as the monitor.
func (g *groupState) publish(v tracker.View, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateEstablished(v)
	g.publishLocked(v, now)
}

func (g *groupState) updateEstablished(v tracker.View) {
	g.established = g.established || v.Term > 0 && v.Primary != ""
}

func (g *groupState) isEstablished() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.established
}

// resetEstablished is called when the server list of the group changes.
func (g *groupState) resetEstablished() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.established = false
}

// publishLocked sets the view unless it is outdated, adds this instance's marks
// to it and gives it a new sequence number if other instances need it at once.
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

// advanceSeq increments the sequence number and wakes the held WatchGroup calls.
func (g *groupState) advanceSeq() {
	g.seq++
	close(g.updated)
	g.updated = make(chan struct{})
}

// accept records the completed switchovers that another monitor reports, and
// takes its view unless this instance monitors the group itself.
func (g *groupState) accept(v tracker.View, completed []string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateEstablished(v)
	for _, id := range completed {
		g.completed[id] = true
	}
	if g.tracker == nil && g.isCurrent(v) {
		g.replace(v, now)
	}
}

// isCurrent reports whether v may replace the present view: its term is not
// lower, and it does not lose the name of the primary. A monitor may know that a
// term is established without knowing its primary yet.
func (g *groupState) isCurrent(v tracker.View) bool {
	if v.Term == g.view.Term {
		return v.Primary != "" || g.view.Primary == ""
	}
	return v.Term > g.view.Term
}

// replace sets the view and announces a change that affects routing.
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

// changesRouting reports whether the views differ in where new work for the
// primary may go.
func changesRouting(old, v tracker.View) bool {
	return old.Term != v.Term || old.Primary != v.Primary || old.Draining != v.Draining || old.Replaced != v.Replaced
}

// isUrgent reports whether other instances should receive the new view at once.
func isUrgent(old, v tracker.View) bool {
	if changesRouting(old, v) {
		return true
	}
	return !slices.EqualFunc(old.Replicas, v.Replicas, func(a, b tracker.ReplicaView) bool {
		return a.Server == b.Server && a.Reachable == b.Reachable && a.Leaving == b.Leaving
	})
}

// get returns the view, without a draining mark that is older than maxPause.
func (g *groupState) get(now time.Time) tracker.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.Draining && now.Sub(g.drainingSince) > maxPause {
		return g.view.WithDraining(false)
	}
	return g.view
}

// awaitUpdate returns the channel that is closed when seq grows, and whether the
// present view is newer than the one that the caller knows.
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

// startPause starts a work pause, which marks the view as draining.
func (g *groupState) startPause(term uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = workPause{on: true, term: term, seq: g.seq + 1, reports: make(map[string]int)}
	g.publishLocked(g.view, now)
}

// endPause ends the work pause.
func (g *groupState) endPause(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = workPause{}
	g.publishLocked(g.view, now)
}

// recordReport records the number of transactions in flight at another instance.
// Negative numbers and reports that belong to an earlier pause are ignored.
func (g *groupState) recordReport(instance, monitor string, seq uint64, inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause.on && inFlight >= 0 && monitor == g.self && seq >= g.pause.seq {
		g.pause.reports[instance] = inFlight
	}
}

// isIdle reports whether a pause is on and all named instances reported that
// nothing is in flight.
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

// complete records that the switchover took effect, and sends it to the other
// instances. It ignores the empty identifier.
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

// keepCompleted removes switchovers that are no longer declared.
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

// decline records that this instance declines the monitor role until the time.
func (g *groupState) decline(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.declineUntil = until
}

func (g *groupState) declinedUntil() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.declineUntil
}
