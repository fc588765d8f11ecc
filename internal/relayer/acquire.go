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

// wait bounds the time for which one batch waits for a primary.
type wait struct {
	deadline time.Time
	// drainedUntil is when waiting for a planned change of primary ends.
	drainedUntil time.Time
	clock        interface{ Now() time.Time }
}

func (s *Session) newWait() *wait {
	return &wait{deadline: s.r.clock.Now().Add(s.r.cfg.PrimaryWait), clock: s.r.clock}
}

func (w *wait) over() bool { return !w.clock.Now().Before(w.deadline) }

// afterFailure waits for a change of the view, for a short time.
func (w *wait) afterFailure(s *Session) {
	s.sleep(s.r.parts.Views.Changed(s.name), retryDelay)
}

// sleep waits until the channel is closed, the time has passed or the caller
// is gone.
func (s *Session) sleep(changed <-chan struct{}, d time.Duration) {
	t := s.r.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.Chan():
	case <-s.gone:
	}
}

// enterPrimary counts the session as in flight on the primary. It waits while
// there is no established primary or a planned change is announced.
func (s *Session) enterPrimary(w *wait) *pgproto3.ErrorResponse {
	if s.counted {
		return nil
	}
	for first := true; ; first = false {
		// The channel is taken and the session counted before the view is
		// read, so that neither a change nor a batch is missed.
		changed := s.r.parts.Views.Changed(s.name)
		s.group.primary.Add(1)
		s.counted = true
		v, ok := s.r.parts.Views.View(s.name)
		until, held := s.heldUntil(v, ok, w)
		if !held {
			return nil
		}
		s.leavePrimary()
		if first {
			s.r.counts.held.Inc(1)
		}
		rest := until.Sub(s.r.clock.Now())
		if s.isGone() {
			return resolver.NotRunError("caller is gone")
		}
		if rest <= 0 {
			return resolver.NotRunError("database group " + s.name + " has no established primary")
		}
		s.sleep(changed, rest)
	}
}

// heldUntil reports whether new work is held back, and until when at most.
func (s *Session) heldUntil(v tracker.View, known bool, w *wait) (time.Time, bool) {
	if !known || v.Term == 0 || v.Primary == "" || v.Replaced {
		return w.deadline, true
	}
	if !v.Draining {
		return time.Time{}, false
	}
	now := s.r.clock.Now()
	if w.drainedUntil.IsZero() {
		w.drainedUntil = now.Add(s.r.cfg.DrainWait)
	}
	return w.drainedUntil, now.Before(w.drainedUntil)
}

func (s *Session) isGone() bool {
	select {
	case <-s.gone:
		return true
	default:
		return false
	}
}

// acquirePrimary returns a connection to the primary. An error proves that
// nothing was sent.
func (s *Session) acquirePrimary(w *wait, class pooler.Class) (pooler.Conn, *pgproto3.ErrorResponse) {
	for {
		if failure := s.enterPrimary(w); failure != nil {
			return nil, failure
		}
		if failure := s.checkConfirms(); failure != nil {
			s.leavePrimary()
			return nil, failure
		}
		changed := s.r.parts.Views.Changed(s.name)
		v, _ := s.r.parts.Views.View(s.name)
		conn, err := s.acquireWatched(pooler.Request{Group: s.name, Server: v.Primary, Class: class, Caller: s.caller.Name})
		if err == nil {
			return conn, nil
		}
		s.leavePrimary()
		if failure := s.acquireFailure(err, w); failure != nil {
			return nil, failure
		}
		// The primary is gone, or the view is older than its end.
		s.sleep(changed, retryDelay)
	}
}

// acquireFailure returns the error to answer, or nil when it is worth waiting
// for another primary.
func (s *Session) acquireFailure(err error, w *wait) *pgproto3.ErrorResponse {
	if s.isGone() {
		return resolver.NotRunError("caller is gone")
	}
	if errors.Is(err, errReplaced) && !w.over() {
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
		if !w.over() {
			return nil
		}
	}
	return resolver.NotRunError("no connection to backend server " + refused.Server + ": " + string(refused.Reason))
}

// acquireWatched waits for a connection to the primary. The wait ends when
// another server becomes the primary.
func (s *Session) acquireWatched(req pooler.Request) (pooler.Conn, error) {
	ctx, interrupt := context.WithCancelCause(s.ctx)
	defer interrupt(nil)
	watch := time.AfterFunc(checkInterval, func() { s.watchPrimary(ctx, req.Server, interrupt) })
	defer watch.Stop()
	return s.acquire(ctx, req, s.r.cfg.PrimaryWait)
}

// watchPrimary interrupts when another server becomes the primary.
func (s *Session) watchPrimary(ctx context.Context, server string, interrupt context.CancelCauseFunc) {
	for {
		changed := s.r.parts.Views.Changed(s.name)
		v, ok := s.r.parts.Views.View(s.name)
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

// acquire waits for a server connection. The wait also ends with a cancel
// request.
func (s *Session) acquire(ctx context.Context, req pooler.Request, limit time.Duration) (pooler.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	s.setCanceler(func() { interrupt(errCanceled) })
	conn, err := s.r.parts.Acquirer.Acquire(ctx, req)
	s.setCanceler(nil)
	if err == nil {
		return conn, nil
	}
	if cause := context.Cause(ctx); errors.Is(cause, errCanceled) || errors.Is(cause, errReplaced) {
		return nil, cause
	}
	return nil, err
}

func (s *Session) setCanceler(f context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceler = f
}

// retryDelay is the longest wait for a new view before a batch is sent again.
const retryDelay = 50 * time.Millisecond

// Causes that end the wait for a connection.
var (
	errCanceled = errors.New("canceled while waiting for a connection")
	errReplaced = errors.New("primary replaced while waiting for a connection")
)
