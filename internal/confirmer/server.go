package confirmer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/tracker"
)

// maxServedWait bounds the time for which a Confirm call is held.
const maxServedWait = time.Second

// Server answers the Confirm calls of other instances.
type Server struct {
	trackers TrackerSource
	clock    clockwork.Clock
}

// NewServer returns a server for groups that this instance monitors.
func NewServer(trackers TrackerSource, clock clockwork.Clock) *Server {
	return &Server{trackers: trackers, clock: clock}
}

// Results answers the items of one call in order. It returns when all items are
// decided or the wait time of the call is over. The caller sets the header of
// the response.
func (s *Server) Results(ctx context.Context, req *wire.ConfirmRequest) []*wire.ConfirmResult {
	t, ok := s.trackers.Tracker(req.GetGroup())
	if !ok || t.LacksQuorum() {
		return repeatOutcome(wire.ConfirmOutcome_CONFIRM_OUTCOME_NOT_MONITOR, len(req.GetItems()))
	}
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxServedWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	since := s.clock.Now()
	waiters := make([]*tracker.Waiter, 0, len(req.GetItems()))
	for _, item := range req.GetItems() {
		p := tracker.Position{Term: item.GetPosition().GetTerm(), Offset: item.GetPosition().GetOffset()}
		w := t.NewWaiter(p, item.GetFresh(), since)
		defer w.Stop()
		waiters = append(waiters, w)
	}
	results := make([]*wire.ConfirmResult, 0, len(waiters))
	for _, w := range waiters {
		results = append(results, await(ctx, t, w))
	}
	return results
}

func await(ctx context.Context, t *tracker.Tracker, w *tracker.Waiter) *wire.ConfirmResult {
	select {
	case <-w.Done():
		return encodeProof(w.Proof())
	default:
	}
	select {
	case <-w.Done():
		return encodeProof(w.Proof())
	case <-t.Closed():
		return &wire.ConfirmResult{Outcome: wire.ConfirmOutcome_CONFIRM_OUTCOME_NOT_MONITOR}
	case <-ctx.Done():
		return &wire.ConfirmResult{Outcome: wire.ConfirmOutcome_CONFIRM_OUTCOME_TIMEOUT}
	}
}

func encodeProof(p tracker.Proof) *wire.ConfirmResult {
	outcome := wire.ConfirmOutcome_CONFIRM_OUTCOME_CONFIRMED
	if p.Superseded {
		outcome = wire.ConfirmOutcome_CONFIRM_OUTCOME_SUPERSEDED
	}
	return &wire.ConfirmResult{Outcome: outcome, Position: encodePosition(p.Position), Lineage: p.Lineage.String()}
}

func repeatOutcome(o wire.ConfirmOutcome, n int) []*wire.ConfirmResult {
	results := make([]*wire.ConfirmResult, n)
	for i := range results {
		results[i] = &wire.ConfirmResult{Outcome: o}
	}
	return results
}
