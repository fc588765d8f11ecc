package overseer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// maxHold is the time for which instances hold back new work for a planned
// change. A mark that is older belongs to a monitor that died.
const maxHold = 200 * time.Millisecond

// board holds what this instance knows about one group. It outlives changes of
// the duty and of the group's servers.
type board struct {
	mu   sync.Mutex
	self string
	// tracker is set while this instance monitors the group.
	tracker *tracker.Tracker
	view    tracker.View
	// drainedAt is the time at which the draining mark of view was learnt.
	drainedAt time.Time
	seq       uint64

	// changed is closed when term, primary or draining mark change; updated is
	// closed when seq grows.
	changed chan struct{}
	updated chan struct{}

	hold hold
	// declined is the time until which this instance declines the duty.
	declined time.Time
	// established is set when a view named the primary under the present
	// servers of the group.
	established bool
	// completed are the switchovers that have taken effect.
	completed map[string]bool
}

// hold is the request to hold back work for the primary of a term.
type hold struct {
	on   bool
	term uint64
	// seq is the first sequence number of views that carry the request.
	seq uint64
	// reports are the numbers of transactions in flight by instance.
	reports map[string]int
}

func newBoard(self, group string) *board {
	return &board{
		self:      self,
		view:      tracker.View{Group: group},
		changed:   make(chan struct{}),
		updated:   make(chan struct{}),
		completed: make(map[string]bool),
	}
}

func (b *board) setTracker(t *tracker.Tracker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tracker = t
	b.hold = hold{}
}

func (b *board) getTracker() (*tracker.Tracker, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tracker, b.tracker != nil
}

// publish takes a view that this instance made as the monitor.
func (b *board) publish(v tracker.View, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteEstablished(v)
	b.publishLocked(v, now)
}

func (b *board) noteEstablished(v tracker.View) {
	b.established = b.established || v.Term > 0 && v.Primary != ""
}

func (b *board) isEstablished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.established
}

// restart notes that the servers of the group change.
func (b *board) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.established = false
}

func (b *board) publishLocked(v tracker.View, now time.Time) {
	if !b.isAsNew(v) {
		v = b.view
	}
	v.Draining = b.hold.on && b.hold.term == v.Term
	v.Monitor = b.self
	if b.view.Monitor != b.self || isNotable(b.view, v) {
		b.bump()
	}
	v.Seq = b.seq
	b.replace(v, now)
}

func (b *board) bump() {
	b.seq++
	close(b.updated)
	b.updated = make(chan struct{})
}

// accept takes a view of another monitor.
func (b *board) accept(v tracker.View, completed []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteEstablished(v)
	for _, id := range completed {
		b.completed[id] = true
	}
	if b.tracker == nil && b.isAsNew(v) {
		b.replace(v, now)
	}
}

// isAsNew reports whether v may replace the view. A monitor that saw a term
// established, but not its primary, knows less than a view that names it.
func (b *board) isAsNew(v tracker.View) bool {
	if v.Term == b.view.Term {
		return v.Primary != "" || b.view.Primary == ""
	}
	return v.Term > b.view.Term
}

func (b *board) replace(v tracker.View, now time.Time) {
	old := b.view
	b.view = v
	if v.Draining && !old.Draining {
		b.drainedAt = now
	}
	if isTurn(old, v) {
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// isTurn reports whether the views differ in where new work for the primary
// may go.
func isTurn(old, v tracker.View) bool {
	return old.Term != v.Term || old.Primary != v.Primary || old.Draining != v.Draining || old.Replaced != v.Replaced
}

// isNotable reports whether other instances should learn the new view at once.
func isNotable(old, v tracker.View) bool {
	if isTurn(old, v) {
		return true
	}
	return !slices.EqualFunc(old.Replicas, v.Replicas, func(a, b tracker.ReplicaView) bool {
		return a.Server == b.Server && a.Reachable == b.Reachable && a.Leaving == b.Leaving
	})
}

func (b *board) get(now time.Time) tracker.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.view.Draining && now.Sub(b.drainedAt) > maxHold {
		return b.view.WithDraining(false)
	}
	return b.view
}

// await returns the channel that is closed when seq grows past the given one,
// and false when the caller already knows the newest view.
func (b *board) await(monitor string, seq uint64) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.updated, monitor != b.self || seq < b.seq
}

func (b *board) changedChan() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// startHold marks the view as draining.
func (b *board) startHold(term uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hold = hold{on: true, term: term, seq: b.seq + 1, reports: make(map[string]int)}
	b.publishLocked(b.view, now)
}

func (b *board) endHold(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hold = hold{}
	b.publishLocked(b.view, now)
}

// report notes the work in flight at another instance. Reports that belong to
// an earlier hold are ignored.
func (b *board) report(instance, monitor string, seq uint64, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hold.on && inFlight >= 0 && monitor == b.self && seq >= b.hold.seq {
		b.hold.reports[instance] = inFlight
	}
}

// isIdle reports whether all named instances reported nothing in flight.
func (b *board) isIdle(instances []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range instances {
		n, ok := b.hold.reports[name]
		if !ok || n > 0 {
			return false
		}
	}
	return b.hold.on
}

func (b *board) complete(id string) {
	if id == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.completed[id] = true
	b.bump()
	b.view.Seq = b.seq
}

func (b *board) isCompleted(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.completed[id]
}

// keepCompleted forgets switchovers that are no longer declared.
func (b *board) keepCompleted(declared map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.completed, func(id string, _ bool) bool { return !declared[id] })
}

func (b *board) completedIDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.completed))
}

func (b *board) decline(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.declined = until
}

func (b *board) declinedUntil() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.declined
}
