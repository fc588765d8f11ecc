package dispatcher

import (
	"errors"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// ensureBegun begins the transaction at a server unless it has begun, trying others
// while nothing ran.
func (t *Transaction) ensureBegun(req Request) (exchanger.Answer, bool) {
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

func (t *Transaction) beginAnywhere(req Request) (exchanger.Answer, bool) {
	d := t.d
	now := d.cfg.Clock.Now()
	open := t.begin
	open.Received = now
	pos, err := d.minPositionFor(open, open.primaryWaitDeadline(now))
	if err != nil {
		return d.refuseAtPrimary(req, "no current position is known", err, t.begin.Route.Objective), false
	}
	tried := map[string]bool{}
	wait, wasFull := time.Duration(0), false
	d.retryBudget.earn(t.begin.Route.Service)
	for range maxAttempts {
		c := d.chooseRead(open, pos, tried, false)
		b := c.backend
		if b == nil {
			break
		}
		if wasFull && c.IsFull(writeWaitFactor*open.Route.Objective/2) && !d.spendRetry(t.begin.Route.Service) {
			return d.refuseRead(open, pos, "the servers' queues are full", errNoRetries, wait), false
		}
		a, err := t.beginAt(b, req, exchanger.Statement{Kind: exchanger.BeginReadOnly, MinPosition: pos.position})
		if err == nil && a.OK() {
			return a, true
		}
		if errors.Is(err, errCallerLeft) {
			return callerLeftAnswer, false
		}
		if err == nil && a.Code == exchanger.Behind {
			d.recordBehind(req, b, pos, a.Position)
		} else {
			d.logRetry(req, b.id, "transaction did not begin: "+a.Code.String(), err)
		}
		tried[b.id] = true
		wait, wasFull = shorterWait(wait, err), isFull(a.Code, err)
	}
	return d.refuseRead(open, pos, "no backend server could begin the transaction", nil, wait), false
}

func (t *Transaction) beginAtLeader(req Request) (exchanger.Answer, bool) {
	d := t.d
	g := d.Group(t.begin.Route.Service)
	began := d.cfg.Clock.Now()
	waitDeadline := t.begin.primaryWaitDeadline(began)
	var reason error
	d.retryBudget.earn(t.begin.Route.Service)
	for range maxAttempts {
		l, err := g.AwaitLeader(waitDeadline)
		if err != nil {
			return d.refuseAtPrimary(req, "no primary is known", errors.Join(err, reason), t.begin.Route.Objective), false
		}
		b := d.backend(l.Server.ID)
		if b == nil {
			g.Suspect(l.Server.ID, "not listed")
			reason = errUnknownServer
			continue
		}
		begin, err := t.beginStatement(g, req, waitDeadline)
		if err != nil {
			return d.refuseAtPrimary(req, "no current position is known", err, t.begin.Route.Objective), false
		}
		a, err := t.beginAt(b, req, begin)
		if err == nil && a.OK() {
			t.leader = l
			t.startConfirmation(g, l, began)
			return a, true
		}
		if errors.Is(err, errCallerLeft) {
			return callerLeftAnswer, false
		}
		if errors.Is(err, errSilent) || errors.Is(err, errOverloaded) {
			d.recheckPrimary(g, l)
			return d.refuseAtPrimary(req, "the primary could not begin the transaction", err, t.begin.Route.Objective), false
		}
		if !d.mayRetry(t.begin.Route.Service, a.Code, err) {
			return d.refuseAtPrimary(req, "the primary's queue is full", errors.Join(errNoRetries, err), t.begin.Route.Objective), false
		}
		if err != nil {
			d.recheckPrimary(g, l)
			reason = err
		} else {
			reason = d.handleRefusal(g, l, a)
		}
		d.logRetry(req, b.id, "transaction did not begin", reason)
	}
	return d.refuseAtPrimary(req, "the primary could not begin the transaction", reason, t.begin.Route.Objective), false
}

// beginStatement returns the statement that begins the transaction at the primary.
// Routes with a staleness bound need a position that is recent enough; a server that
// does not cover it is a former primary.
func (t *Transaction) beginStatement(g *attester.Group, req Request, waitDeadline time.Time) (exchanger.Statement, error) {
	if t.begin.Route.Reads == informer.PrimaryReads {
		return exchanger.Statement{Kind: t.begin.Statement.Kind}, nil
	}
	open := t.begin
	open.Received = req.Received
	pos, err := t.d.minPositionFor(open, waitDeadline)
	return exchanger.Statement{Kind: exchanger.Begin, MinPosition: pos.position}, err
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
func (t *Transaction) beginAt(b *backend, req Request, begin exchanger.Statement) (exchanger.Answer, error) {
	now := t.d.cfg.Clock.Now()
	deadline := now.Add(t.begin.Route.StatementTimeout)
	open := t.begin
	// The caller of the first statement waits; the begin was answered when it arrived.
	open.Received, open.Context, open.Left = now, req.Context, req.Left
	c, releaseSlot, err := t.d.acquire(b, t.d.newConnRequest(open, writeWaitFactor))
	if err != nil {
		return exchanger.Answer{}, err
	}
	answers, err := t.d.exchange(b, c, false, func() ([]exchanger.Answer, error) { return c.Run(deadline, req.Context, begin) })
	releaseSlot()
	if err != nil {
		b.release(c, false)
		return exchanger.Answer{}, err
	}
	a := answers[0]
	b.observePosition(t.d.cfg.Clock.Now(), begin, a)
	if !a.OK() || a.State != exchanger.InTransaction {
		b.release(c, a.State == exchanger.Idle)
		return a, nil
	}
	t.backend, t.conn = b, c
	return a, nil
}
