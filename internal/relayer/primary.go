package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/tracker"
)

// maxAttempts bounds how often one batch is sent.
const maxAttempts = 4

// attempt is what became of one run of a batch. At most one field is set; all
// are zero when the answer is complete in the output buffer.
type attempt struct {
	// failure is the error to answer instead.
	failure *pgproto3.ErrorResponse
	// retry is set with failure when the batch may be run again.
	retry bool
}

// servePrimary runs a batch that starts outside a transaction on the primary.
func (s *Session) servePrimary(b *batch, p *planner.Plan) error {
	class := s.classOf(p)
	w := s.newWait()
	for n := 1; ; n++ {
		conn, failure := s.acquirePrimary(w, class)
		if failure != nil {
			s.leavePrimary()
			return s.fail(b, failure)
		}
		x := s.newExchange(conn, b, p)
		a := s.attempt(x)
		if b.flushed && a.failure == nil {
			return s.keepOpen(x)
		}
		if a.failure == nil {
			x.remembered()
			return s.ready()
		}
		if !a.retry || n == maxAttempts || w.over() || !s.r.parts.Budget.Retry() {
			return s.fail(b, a.failure)
		}
		s.r.counts.retries.Inc(1)
		w.afterFailure(s)
	}
}

// serveHeld runs a batch on the connection that the session keeps.
func (s *Session) serveHeld(b *batch, p *planner.Plan) error {
	if !s.held.tx.active {
		if err := s.checkPinned(); err != nil {
			return err
		}
	}
	x := s.newExchange(s.held.conn, b, p)
	a := s.attempt(x)
	switch {
	case a.failure != nil:
		return s.fail(b, a.failure)
	case b.flushed:
		return s.keepOpen(x)
	}
	x.remembered()
	return s.ready()
}

// checkPinned ends a session whose pinned connection is not on the primary.
func (s *Session) checkPinned() error {
	if failure := s.enterPrimary(s.newWait()); failure != nil {
		return &fatalError{resolver.Fatal(failure.Code, failure.Message)}
	}
	v, ok := s.r.parts.Views.View(s.name)
	if ok && v.Primary != "" && v.Primary != s.held.conn.Server() {
		return fatal(resolver.CodeShutdown, "the primary that held this session's settings was replaced, connect again")
	}
	return nil
}

func (s *Session) classOf(p *planner.Plan) pooler.Class {
	if !p.ReadOnly() {
		return pooler.Submission
	}
	if _, bounded := s.r.router.Bounded(s.name, p.Tables()); bounded && s.r.router.Policy() != router.AllPrimary {
		return pooler.BoundedRead
	}
	return pooler.StrictRead
}

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

// retryDelay is the longest wait for a new view before a batch is sent again.
const retryDelay = 50 * time.Millisecond

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

// Causes that end the wait for a connection.
var (
	errCanceled = errors.New("canceled while waiting for a connection")
	errReplaced = errors.New("primary replaced while waiting for a connection")
)

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

// attempt runs a batch once and settles what becomes of the connection and of
// the answer.
func (s *Session) attempt(x *exchange) attempt {
	var p *proof
	if x.p.Reads && !x.p.Commits && !x.b.flushed {
		p = s.beginProof()
	}
	if err := x.run(); err != nil {
		return x.afterLoss(err)
	}
	if x.b.flushed {
		return attempt{}
	}
	return x.settle(p)
}

// afterLoss settles an exchange whose server connection failed.
func (x *exchange) afterLoss(err error) attempt {
	s := x.s
	wasActive := s.held.tx.active
	s.held.conn = x.conn
	s.dropHeld()
	if x.mayHaveCommitted() {
		return x.give(resolver.UnknownError(err.Error()), false)
	}
	if wasActive || (x.p.Begins && len(x.p.Executed) > 1) || x.sent {
		s.lost = wasActive || x.p.Begins
		return x.give(resolver.NotRunError(err.Error()), false)
	}
	return x.give(resolver.NotRunError(err.Error()), true)
}

// give drops the buffered answer in favour of an error.
func (x *exchange) give(failure *pgproto3.ErrorResponse, retry bool) attempt {
	x.s.out = x.s.out[:0]
	return attempt{failure: failure, retry: retry && !x.sent}
}

// settle decides what becomes of the connection and of the answer after
// ReadyForQuery.
func (x *exchange) settle(p *proof) attempt {
	s := x.s
	if x.keyClash != "" {
		return x.settleKeyClash()
	}
	if x.status != 'I' && x.committed {
		return x.afterLoss(lost("the batch committed and left a transaction open"))
	}
	if x.status != 'I' {
		s.keep(x)
		return x.settleInTransaction()
	}
	confirm := x.needsConfirmation()
	if confirm && x.row == nil {
		if err := x.askStatus(); err != nil {
			return x.afterLoss(err)
		}
	}
	inTx := s.held.tx.active
	s.giveBack(x)
	defer s.leavePrimary()
	if confirm {
		return x.settleConfirmed(p)
	}
	if x.err != nil && !inTx && resolver.ProvesNotRun(x.err) && !s.pinned() {
		return x.give(resolver.NotRunError(x.err.Message+" ("+x.err.Code+")"), true)
	}
	return attempt{}
}

// keep leaves the connection with the session, inside a transaction.
func (s *Session) keep(x *exchange) {
	s.held.conn = x.conn
	s.held.open = nil
	s.held.tx.active = true
	s.held.stale = x.stale
	s.held.tx.failed = x.status == 'E'
	s.held.tx.evidence = x.evidence
	s.held.tx.readOnly = s.held.tx.readOnly || x.p.ReadOnlyTx
}

// settleInTransaction looks for an error that shows that the server no longer
// takes writes, so that the transaction cannot commit.
func (x *exchange) settleInTransaction() attempt {
	s := x.s
	if x.err == nil || x.err.Code != resolver.CodeReadOnly || s.pinned() {
		return attempt{}
	}
	if s.held.tx.readOnly {
		return attempt{}
	}
	s.failTransaction()
	return x.give(resolver.NotRunError("the primary is being replaced"), false)
}

// giveBack ends the use of a connection at rest.
func (s *Session) giveBack(x *exchange) {
	if s.pinned() {
		s.held.conn = x.conn
		s.held.open = nil
		s.held.tx = txState{}
		s.portals = nil
		return
	}
	counted := s.counted
	s.counted = false // the caller of giveBack leaves the primary later
	s.held.conn = x.conn
	s.setRunning(nil)
	if x.stale {
		x.conn.Discard()
	} else {
		x.conn.Release()
	}
	s.forgetHeld()
	s.counted = counted
}

// settleConfirmed waits for the confirmation of a commit or a strict read.
func (x *exchange) settleConfirmed(p *proof) attempt {
	s := x.s
	commit := x.evidence.Commit(resolver.Commit{Lower: x.lower, Upper: x.row.Log})
	// A server that is not the primary may have shown old data. Only a proved
	// write shows that it was the primary when it ran the batch.
	if x.row.Role != tracker.RolePrimary && x.evidence != resolver.ProvedWrite {
		return x.settleForeign()
	}
	if !x.p.Commits && !x.committed {
		return x.settleRead(p, commit)
	}
	fresh := x.committed || x.evidence != resolver.ProvedWrite
	res, err := s.confirm(x.row.Log, fresh)
	if err != nil {
		if x.evidence == resolver.ProvedReadOnly {
			return x.give(resolver.NotRunError("position was not confirmed: "+err.Error()), false)
		}
		return x.give(resolver.UnknownError("position "+x.row.Log.String()+" was not confirmed: "+err.Error()), false)
	}
	switch commit.Resolve(res) {
	case resolver.Done:
		s.r.counts.commits.Inc(1)
		s.raiseFloor(x.row.Log)
		s.sendToken(x.row.Log)
		return attempt{}
	case resolver.NotRun:
		return x.give(resolver.NotRunError(fmt.Sprintf("term %d was replaced", x.row.Log.Term)), !x.p.Explicit)
	}
	return x.give(resolver.UnknownError(fmt.Sprintf("term %d was replaced", x.row.Log.Term)), false)
}

// settleForeign answers a batch whose server was not the primary after it.
func (x *exchange) settleForeign() attempt {
	why := "backend server " + x.conn.Server() + " is not the primary"
	if !x.p.Commits || x.evidence == resolver.ProvedReadOnly {
		return x.give(resolver.NotRunError(why), !x.p.Explicit)
	}
	return x.give(resolver.UnknownError(why), false)
}

func (x *exchange) settleRead(p *proof, commit resolver.Commit) attempt {
	if p == nil {
		p = x.s.beginProof()
	}
	res, err := x.s.confirmRead(p, x.row.Log)
	if err != nil {
		return x.give(resolver.NotRunError("position was not confirmed: "+err.Error()), false)
	}
	commit.ReadOnly = true
	if commit.Resolve(res) == resolver.Done {
		return attempt{}
	}
	return x.give(resolver.NotRunError(fmt.Sprintf("term %d was replaced", x.row.Log.Term)), true)
}
