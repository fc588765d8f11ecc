package tracker

import "time"

// Proof is the answer to a wait for a confirmation.
type Proof struct {
	// Superseded is set when a term later than that of the awaited position is
	// established. Lineage then tells whether the position is part of it.
	Superseded bool
	// Position is the confirmed position that was awaited. It is the primary's
	// position when none was given, and a confirmed position of the established
	// term when Superseded is set.
	Position Position
	// Lineage is the lineage of the established term.
	Lineage Lineage
}

// Need tells why the status of a server is awaited.
type Need int

const (
	NeedNothing Need = iota
	// NeedProgress means that the newest status is recent enough, but the
	// server's log or term has to advance.
	NeedProgress
	// NeedStatus means that the newest status is too old.
	NeedStatus
)

// Waiter waits for the confirmation of one position.
type Waiter struct {
	tracker *Tracker
	// position is zero until the primary's position is known, when the waiter
	// asks for the primary's own position.
	position  Position
	readIndex bool
	fresh     bool
	since     time.Time
	// server is set when the storage of one server is awaited instead of that
	// of a majority.
	server string
	done   chan struct{}
	proof  Proof
}

// Done returns a channel that is closed when the proof exists.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Proof returns the proof. It may be called after Done is closed.
func (w *Waiter) Proof() Proof { return w.proof }

// quorum returns the number of servers that must count.
func (w *Waiter) quorum() int {
	if w.server != "" {
		return 1
	}
	return w.tracker.group.Majority()
}

// needs tells what a newer status of the server could do for this waiter.
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

// Stop ends the wait.
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
