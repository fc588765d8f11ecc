package acquirer

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

// retryDelay is the longest wait for a new view before a batch is sent again.
const retryDelay = 50 * time.Millisecond

// Wait bounds the time for which one batch waits for a primary.
type Wait struct {
	deadline time.Time
	// drainDeadline ends the wait during a planned change of primary. It is
	// zero until the batch meets one.
	drainDeadline time.Time
	drainWait     time.Duration
	clock         interface{ Now() time.Time }
}

// NewWait returns a wait that begins now.
func (a *Acquirer) NewWait() *Wait {
	return &Wait{deadline: a.cfg.Clock.Now().Add(a.cfg.PrimaryWait), drainWait: a.cfg.DrainWait, clock: a.cfg.Clock}
}

// IsExpired reports whether the batch has waited long enough.
func (w *Wait) IsExpired() bool { return !w.clock.Now().Before(w.deadline) }

// until reports whether new work must wait given the group's view, and until when at most.
func (w *Wait) until(v tracker.View, known bool) (time.Time, bool) {
	if !known || v.Term == 0 || v.Primary == "" || v.Replaced {
		return w.deadline, true
	}
	if !v.Draining {
		return time.Time{}, false
	}
	now := w.clock.Now()
	if w.drainDeadline.IsZero() {
		w.drainDeadline = now.Add(w.drainWait)
	}
	return w.drainDeadline, now.Before(w.drainDeadline)
}

// BeforeRetry waits until the group's view changes, at most for retryDelay.
func (a *Acquirer) BeforeRetry() { a.waitForChange(a.cfg.Views.Changed(a.cfg.Group), retryDelay) }

// waitForChange waits until the channel is closed, the time has passed or the
// caller has disconnected.
func (a *Acquirer) waitForChange(changed <-chan struct{}, d time.Duration) {
	t := a.cfg.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.Chan():
	case <-a.cfg.Disconnected:
	}
}

// BeginUse counts the session as in flight on the primary, until [Acquirer.EndUse]. It waits
// while there is no established primary or a planned change is announced.
func (a *Acquirer) BeginUse(w *Wait) *pgproto3.ErrorResponse {
	if a.inFlight {
		return nil
	}
	for first := true; ; first = false {
		// The channel is read and the session counted before the view is read.
		// Otherwise this loop could miss a change of the view, or the planned
		// change of primary could miss this batch.
		changed := a.cfg.Views.Changed(a.cfg.Group)
		a.cfg.Shared.inFlight.Add(1)
		a.inFlight = true
		v, ok := a.cfg.Views.View(a.cfg.Group)
		until, mustWait := w.until(v, ok)
		if !mustWait {
			return nil
		}
		a.EndUse()
		if first {
			a.cfg.Waits.Inc(1)
		}
		remaining := until.Sub(a.cfg.Clock.Now())
		if a.isDisconnected() {
			return resolver.NotRunError("caller has disconnected")
		}
		if remaining <= 0 {
			return resolver.NotRunError("database group " + a.cfg.Group + " has no established primary")
		}
		a.waitForChange(changed, remaining)
	}
}

// EndUse ends what BeginUse began.
func (a *Acquirer) EndUse() {
	if a.inFlight {
		a.inFlight = false
		a.cfg.Shared.inFlight.Add(-1)
	}
}

func (a *Acquirer) isDisconnected() bool {
	select {
	case <-a.cfg.Disconnected:
		return true
	default:
		return false
	}
}
