package transactor

import (
	"errors"
	"time"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// ensureBegun begins the transaction at a server unless it has begun, trying others
// while nothing ran.
func (t *Transaction) ensureBegun(req attempter.Request) (exchanger.Answer, bool) {
	if t.conn != nil {
		return exchanger.Answer{}, true
	}
	if t.failed {
		return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.FailedTransaction, "the transaction has failed"), false
	}
	if t.readOnly && t.begin.Route.Reads != informer.PrimaryReads {
		return t.beginAnywhere(req)
	}
	return t.beginAtLeader(req)
}

func (t *Transaction) beginAnywhere(req attempter.Request) (exchanger.Answer, bool) {
	now := t.cfg.Clock.Now()
	open := t.begin
	open.Received = now
	pos, err := t.cfg.Chooser.MinPosition(open, open.PrimaryWaitDeadline(now))
	if err != nil {
		return t.cfg.Attempter.RefuseAtPrimary(req, "no current position is known", err, t.begin.Route.Objective), false
	}
	tried := map[string]bool{}
	wait, wasFull := time.Duration(0), false
	// As in [attempter.Attempter.NewConnRequest] with the factor of a begin.
	allowed := attempter.WriteWaitFactor * open.Route.Objective / 2
	t.cfg.Attempter.EarnRetry(t.begin.Route.Service)
	for range attempter.MaxAttempts {
		c := t.cfg.Chooser.Choose(open, pos, tried, false)
		b := c.Backend
		if b == nil {
			break
		}
		if wasFull && c.IsFull(allowed) && !t.cfg.Attempter.SpendRetry(t.begin.Route.Service) {
			return t.cfg.Chooser.RefuseRead(req, pos, "the servers' queues are full", attempter.ErrNoRetries, wait, allowed), false
		}
		a, err := t.beginAt(b, req, exchanger.Statement{Kind: exchanger.BeginReadOnly, MinPosition: pos.Position})
		if err == nil && a.OK() {
			return a, true
		}
		if errors.Is(err, connector.ErrCallerLeft) {
			return callerLeftAnswer(err), false
		}
		if err == nil && a.Code == exchanger.Behind {
			t.cfg.Chooser.RecordBehind(req, b, pos, a.Position)
		} else {
			t.cfg.Attempter.LogRetry(req, b.ID, "transaction did not begin: "+a.Code.String(), err)
		}
		tried[b.ID] = true
		wait, wasFull = attempter.ShorterWait(wait, err), attempter.IsFull(a.Code, err)
	}
	return t.cfg.Chooser.RefuseRead(req, pos, "no backend server could begin the transaction", nil, wait, allowed), false
}

func (t *Transaction) beginAtLeader(req attempter.Request) (exchanger.Answer, bool) {
	g := t.cfg.Groups.Group(t.begin.Route.Service)
	began := t.cfg.Clock.Now()
	waitDeadline := t.begin.PrimaryWaitDeadline(began)
	var reason error
	t.cfg.Attempter.EarnRetry(t.begin.Route.Service)
	for range attempter.MaxAttempts {
		l, b, err := t.cfg.Attempter.AwaitPrimary(g, waitDeadline)
		if errors.Is(err, attempter.ErrUnknownServer) {
			reason = err
			continue
		}
		if err != nil {
			return t.cfg.Attempter.RefuseAtPrimary(req, attempter.NoPrimaryText(err), errors.Join(err, reason), t.begin.Route.Objective), false
		}
		begin, err := t.beginStatement(g, req, waitDeadline)
		if err != nil {
			return t.cfg.Attempter.RefuseAtPrimary(req, "no current position is known", err, t.begin.Route.Objective), false
		}
		a, err := t.beginAt(b, req, begin)
		if err == nil && a.OK() {
			t.leader = l
			t.startConfirmation(g, l, began)
			return a, true
		}
		if errors.Is(err, connector.ErrCallerLeft) {
			return callerLeftAnswer(err), false
		}
		if errors.Is(err, connector.ErrSilent) || errors.Is(err, connector.ErrOverloaded) {
			t.cfg.Attempter.RecheckPrimary(g, l)
			return t.cfg.Attempter.RefuseAtPrimary(req, "the primary could not begin the transaction", err, t.begin.Route.Objective), false
		}
		if !t.cfg.Attempter.MayRetry(t.begin.Route.Service, a.Code, err) {
			return t.cfg.Attempter.RefuseAtPrimary(req, "the primary's queue is full", errors.Join(attempter.ErrNoRetries, err), t.begin.Route.Objective), false
		}
		if err != nil {
			t.cfg.Attempter.RecheckPrimary(g, l)
			reason = err
		} else {
			reason = t.cfg.Attempter.HandleRefusal(g, l, a)
		}
		t.cfg.Attempter.LogRetry(req, b.ID, "transaction did not begin", reason)
	}
	return t.cfg.Attempter.RefuseAtPrimary(req, "the primary could not begin the transaction", reason, t.begin.Route.Objective), false
}

// callerLeftAnswer ends a begin whose caller has left. If the begin was not sent, the team does
// not pay for it.
func callerLeftAnswer(err error) exchanger.Answer {
	a := attempter.CallerLeftAnswer
	if errors.Is(err, attempter.ErrNotSent) || errors.Is(err, exchanger.ErrNotSent) {
		a.Code = exchanger.Busy
	}
	return a
}

// beginStatement returns the statement that begins the transaction at the primary.
// Routes with a staleness bound need a position that is recent enough; a server that
// does not cover it is a former primary.
func (t *Transaction) beginStatement(g *attester.Group, req attempter.Request, waitDeadline time.Time) (exchanger.Statement, error) {
	if t.begin.Route.Reads == informer.PrimaryReads {
		return exchanger.Statement{Kind: t.begin.Statement.Kind}, nil
	}
	open := t.begin
	open.Received = req.Received
	pos, err := t.cfg.Chooser.MinPosition(open, waitDeadline)
	return exchanger.Statement{Kind: exchanger.Begin, MinPosition: pos.Position}, err
}

// startConfirmation starts to confirm the primary of a transaction that reads at the
// primary. A plain begin is refused by a server that is not primary; for a read-only
// begin the server must also report that it is.
func (t *Transaction) startConfirmation(g *attester.Group, l attester.Leader, began time.Time) {
	if t.begin.Route.Reads != informer.PrimaryReads || g.HasLease(l) {
		return
	}
	deadline := began.Add(t.begin.Route.StatementTimeout)
	confirmation := make(chan error, 1)
	t.confirmation = confirmation
	go func() {
		if t.readOnly {
			confirmation <- g.Confirm(l, deadline)
			return
		}
		confirmation <- g.ConfirmByReplica(began, l, deadline)
	}()
}

// beginAt begins the transaction on a new connection to the server. Statements
// follow only after the begin has been answered: if it failed, they would run outside
// a transaction.
func (t *Transaction) beginAt(b *connector.Backend, req attempter.Request, begin exchanger.Statement) (exchanger.Answer, error) {
	now := t.cfg.Clock.Now()
	deadline := now.Add(t.begin.Route.StatementTimeout)
	open := t.begin
	// The caller of the first statement waits; the begin was answered when it arrived.
	open.Received, open.Context, open.Left = now, req.Context, req.Left
	c, releaseSlot, err := t.cfg.Delegator.Acquire(b, t.cfg.Attempter.NewConnRequest(open, attempter.WriteWaitFactor))
	if err != nil {
		return exchanger.Answer{}, errors.Join(attempter.ErrNotSent, err)
	}
	answers, err := b.Exchange(c, false, func() ([]exchanger.Answer, error) { return c.Run(deadline, req.Context, begin) })
	releaseSlot()
	if err != nil {
		c.Release(false)
		return exchanger.Answer{}, err
	}
	a := answers[0]
	b.ObservePosition(t.cfg.Clock.Now(), begin, a)
	if !a.OK() || a.State != exchanger.InTransaction {
		c.Release(a.State == exchanger.Idle)
		return a, nil
	}
	t.backend, t.conn = b, c
	return a, nil
}
