package tracker

import "time"

// Proof is the result of a wait for a confirmation.
type Proof struct {
	// Superseded is set when a later term than that of the awaited position is
	// established. Lineage then shows whether the position is part of it.
	Superseded bool
	// Position is the awaited position, or the read index if the zero position
	// was given. If Superseded is set it is a confirmed position of the
	// established term instead.
	Position Position
	// Lineage is the lineage of the established term.
	Lineage Lineage
}

// Need is the reason why a newer status of a server is needed. A higher value is
// more urgent.
type Need int

const (
	// NeedNothing means that no wait needs the server's status.
	NeedNothing Need = iota
	// NeedProgress means that the newest status is recent enough, but the
	// server's log or term must advance.
	NeedProgress
	// NeedStatus means that the newest status is too old.
	NeedStatus
)

// Waiter is an open wait for the confirmation of one position.
type Waiter struct {
	tracker *Tracker
	// position is the awaited position. It is zero while the read index is
	// awaited but not known yet.
	position Position
	// readIndex is set when the wait is for the confirmation of the read index.
	readIndex bool
	// fresh and since state which statuses count: those requested at or after
	// since if fresh is set, otherwise all.
	fresh bool
	since time.Time
	// server is set when the wait is for the storage of one server instead of
	// that of a majority.
	server string
	done   chan struct{}
	proof  Proof
}

// Done returns a channel that is closed when the proof exists.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Proof returns the proof. It must only be called after Done is closed.
func (w *Waiter) Proof() Proof { return w.proof }

// quorum returns the number of servers that must support the position.
func (w *Waiter) quorum() int {
	if w.server != "" {
		return 1
	}
	return w.tracker.group.Majority()
}

// needs returns why this waiter needs a newer status of the server, if it does.
func (w *Waiter) needs(o Observation) Need {
	switch {
	case w.server != "" && o.Server != w.server:
		return NeedNothing
	case w.position.IsZero() || w.fresh && o.SentAt.Before(w.since):
		return NeedStatus
	case !w.supports(o):
		return NeedProgress
	default:
		return NeedNothing
	}
}

// Stop ends the wait. It may be called more than once.
func (w *Waiter) Stop() {
	w.tracker.mu.Lock()
	defer w.tracker.mu.Unlock()
	delete(w.tracker.waiters, w)
}

// supports reports whether the observation supports the awaited position.
func (w *Waiter) supports(o Observation) bool {
	if w.fresh && o.SentAt.Before(w.since) {
		return false
	}
	if w.server != "" && o.Server != w.server {
		return false
	}
	return o.stores(w.position)
}
