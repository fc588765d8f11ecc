package relayer

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

// primaryWait bounds the time for which one batch waits for a primary.
type primaryWait struct {
	deadline time.Time
	// drainDeadline ends the wait during a planned change of primary. It is
	// zero until the batch meets one.
	drainDeadline time.Time
	clock         interface{ Now() time.Time }
}

func (s *Session) newPrimaryWait() *primaryWait {
	return &primaryWait{deadline: s.r.clock.Now().Add(s.r.cfg.PrimaryWait), clock: s.r.clock}
}

func (w *primaryWait) expired() bool { return !w.clock.Now().Before(w.deadline) }

// beforeRetry waits until the group's view changes, at most for retryDelay.
func (w *primaryWait) beforeRetry(s *Session) {
	s.waitForChange(s.r.deps.Views.Changed(s.groupName), retryDelay)
}

// waitForChange waits until the channel is closed, the time has passed or the
// caller has disconnected.
func (s *Session) waitForChange(changed <-chan struct{}, d time.Duration) {
	t := s.r.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.Chan():
	case <-s.reader.Disconnected():
	}
}

// beginPrimaryUse counts the session as in flight on the primary, until
// endPrimaryUse. It waits while there is no established primary or a planned
// change is announced.
func (s *Session) beginPrimaryUse(w *primaryWait) *pgproto3.ErrorResponse {
	if s.inFlight {
		return nil
	}
	for first := true; ; first = false {
		// The channel is read and the session counted before the view is read.
		// Otherwise this loop could miss a change of the view, or the planned
		// change of primary could miss this batch.
		changed := s.r.deps.Views.Changed(s.groupName)
		s.group.inFlight.Add(1)
		s.inFlight = true
		v, ok := s.r.deps.Views.View(s.groupName)
		until, mustWait := s.waitUntil(v, ok, w)
		if !mustWait {
			return nil
		}
		s.endPrimaryUse()
		if first {
			s.r.counts.waitedForPrimary.Inc(1)
		}
		remaining := until.Sub(s.r.clock.Now())
		if s.isDisconnected() {
			return resolver.NotRunError("caller has disconnected")
		}
		if remaining <= 0 {
			return resolver.NotRunError("database group " + s.groupName + " has no established primary")
		}
		s.waitForChange(changed, remaining)
	}
}

// waitUntil reports whether new work must wait, and until when at most.
func (s *Session) waitUntil(v tracker.View, known bool, w *primaryWait) (time.Time, bool) {
	if !known || v.Term == 0 || v.Primary == "" || v.Replaced {
		return w.deadline, true
	}
	if !v.Draining {
		return time.Time{}, false
	}
	now := s.r.clock.Now()
	if w.drainDeadline.IsZero() {
		w.drainDeadline = now.Add(s.r.cfg.DrainWait)
	}
	return w.drainDeadline, now.Before(w.drainDeadline)
}

func (s *Session) isDisconnected() bool {
	select {
	case <-s.reader.Disconnected():
		return true
	default:
		return false
	}
}

// acquirePrimary returns a connection to the primary and counts the session as
// in flight there. An error proves that nothing was sent.
func (s *Session) acquirePrimary(w *primaryWait, class pooler.Class) (pooler.Conn, *pgproto3.ErrorResponse) {
	for {
		if failure := s.beginPrimaryUse(w); failure != nil {
			return nil, failure
		}
		if failure := s.certifier.Check(); failure != nil {
			s.endPrimaryUse()
			return nil, failure
		}
		changed := s.r.deps.Views.Changed(s.groupName)
		v, _ := s.r.deps.Views.View(s.groupName)
		conn, err := s.acquireFromPrimary(pooler.Request{Group: s.groupName, Server: v.Primary, Class: class, Caller: s.caller.Name})
		if err == nil {
			return conn, nil
		}
		s.endPrimaryUse()
		if failure := s.acquireFailure(err, w); failure != nil {
			return nil, failure
		}
		// The server is unreachable, leaving or replaced: wait for a new view.
		s.waitForChange(changed, retryDelay)
	}
}

// acquireFailure returns the error for the caller, or nil if another primary is
// worth waiting for.
func (s *Session) acquireFailure(err error, w *primaryWait) *pgproto3.ErrorResponse {
	if s.isDisconnected() || errors.Is(err, errPeerClosed) {
		return resolver.NotRunError("caller has disconnected")
	}
	if errors.Is(err, errReplaced) && !w.expired() {
		return nil
	}
	if errors.Is(err, errCanceled) {
		return resolver.Error(resolver.CodeCanceled, "canceling statement due to user request", "")
	}
	var refused *pooler.RefusedError
	if !errors.As(err, &refused) {
		return resolver.NotRunError("no connection to the primary")
	}
	switch refused.Reason {
	case pooler.ReasonUnreachable, pooler.ReasonLeaving, pooler.ReasonUnknown:
		if !w.expired() {
			return nil
		}
	}
	return resolver.NotRunError("no connection to backend server " + refused.Server + ": " + string(refused.Reason))
}

// acquireFromPrimary waits for a connection to the primary. The wait ends when
// another server becomes the primary.
func (s *Session) acquireFromPrimary(req pooler.Request) (pooler.Conn, error) {
	ctx, interrupt := context.WithCancelCause(s.ctx)
	defer interrupt(nil)
	watch := time.AfterFunc(checkInterval, func() { s.interruptOnReplacement(ctx, req.Server, interrupt) })
	defer watch.Stop()
	return s.acquire(ctx, req, s.r.cfg.PrimaryWait)
}

// interruptOnReplacement interrupts the wait when another server becomes the
// primary.
func (s *Session) interruptOnReplacement(ctx context.Context, server string, interrupt context.CancelCauseFunc) {
	for {
		changed := s.r.deps.Views.Changed(s.groupName)
		v, ok := s.r.deps.Views.View(s.groupName)
		if ok && v.Term > 0 && v.Primary != "" && v.Primary != server {
			interrupt(errReplaced)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// acquire waits for a server connection. A cancel request of the caller ends
// the wait too.
func (s *Session) acquire(ctx context.Context, req pooler.Request, limit time.Duration) (pooler.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	s.setCancelAcquire(func() { interrupt(errCanceled) })
	stop := s.watchPeer(interrupt)
	defer stop()
	starved := time.AfterFunc(starvedWait, func() { s.group.starved.Add(1) })
	conn, err := s.r.deps.Acquirer.Acquire(ctx, req)
	if !starved.Stop() {
		s.group.starved.Add(-1)
	}
	s.setCancelAcquire(nil)
	if err == nil {
		return s.take(conn), nil
	}
	if cause := context.Cause(ctx); errors.Is(cause, errCanceled) || errors.Is(cause, errReplaced) || errors.Is(cause, errPeerClosed) {
		return nil, cause
	}
	return nil, err
}

func (s *Session) setCancelAcquire(f context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelAcquire = f
}

// starvedWait is how long a session waits for a server connection before callers that do not
// read their answers give up theirs. It is a quarter of pooler.QueueDeadline.
const starvedWait = 500 * time.Millisecond

// retryDelay is the longest wait for a new view before a batch is sent again.
const retryDelay = 50 * time.Millisecond

// Causes that end the wait for a connection.
var (
	errCanceled   = errors.New("canceled while waiting for a connection")
	errPeerClosed = errors.New("caller closed its connection while waiting for a connection")
	errReplaced   = errors.New("primary replaced while waiting for a connection")
)
