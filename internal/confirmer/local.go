package confirmer

import (
	"context"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/tracker"
)

// TrackerSource provides the trackers of the groups that this instance monitors.
type TrackerSource interface {
	// Tracker returns the group's tracker, and false if this instance does not
	// monitor the group.
	Tracker(group string) (*tracker.Tracker, bool)
}

// Local confirms with the trackers of this instance.
type Local struct {
	trackers TrackerSource
	clock    clockwork.Clock
}

// NewLocal returns a confirmer for groups that this instance monitors.
func NewLocal(trackers TrackerSource, clock clockwork.Clock) *Local {
	return &Local{trackers: trackers, clock: clock}
}

// Confirm implements [Confirmer]. It returns [ErrNotMonitor] if this instance
// does not monitor the group, or stops monitoring it during the call.
func (l *Local) Confirm(ctx context.Context, req Request) (Result, error) {
	t, ok := l.trackers.Tracker(req.Group)
	if !ok {
		return Result{}, ErrNotMonitor
	}
	proof, err := t.Await(ctx, req.Position, req.Fresh, l.clock.Now())
	if err == tracker.ErrClosed {
		return Result{}, ErrNotMonitor
	}
	return ResultOf(proof), err
}

// lacksQuorum reports whether the local tracker has no quorum and therefore
// cannot confirm anything.
func (l *Local) lacksQuorum(group string) bool {
	t, ok := l.trackers.Tracker(group)
	return !ok || t.LacksQuorum()
}

// ResultOf converts the proof of a tracker to a result.
func ResultOf(p tracker.Proof) Result {
	r := Result{Outcome: Confirmed, Position: p.Position, Lineage: p.Lineage}
	if p.Superseded {
		r.Outcome = Superseded
	}
	return r
}
