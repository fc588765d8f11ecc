package dispatcher

import (
	"errors"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// open begins the transaction at a server, trying others while nothing ran.
func (t *Transaction) open(req Request) (exchanger.Answer, bool) {
	if t.link != nil {
		return exchanger.Answer{}, true
	}
	if t.failed {
		return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.FailedTransaction, "the transaction has failed"), false
	}
	if t.readOnly && t.begin.Route.Reads != informer.PrimaryReads {
		return t.openAnywhere(req)
	}
	return t.openAtLeader(req)
}

func (t *Transaction) openAnywhere(req Request) (exchanger.Answer, bool) {
	d := t.d
	now := d.cfg.Clock.Now()
	open := t.begin
	open.Received = now
	f, err := d.floorOf(open, open.holdUntil(now))
	if err != nil {
		return d.refuse(req, exchanger.Busy, "no current position is known", err), false
	}
	tried := map[string]bool{}
	for range maxAttempts {
		b := d.chooseRead(open, f, tried)
		if b == nil {
			break
		}
		a, err := t.beginAt(b, req, exchanger.Statement{Kind: exchanger.BeginReadOnly, MinPosition: f.position})
		if err == nil && a.OK() {
			return a, true
		}
		if err == nil && a.Code == exchanger.Behind {
			d.noteBehind(req, b, f, a.Position)
		} else {
			d.noteRetry(req, b.id, "transaction did not begin: "+a.Code.String(), err)
		}
		tried[b.id] = true
	}
	return d.refuse(req, exchanger.Busy, "no backend server could begin the transaction", nil), false
}

func (t *Transaction) openAtLeader(req Request) (exchanger.Answer, bool) {
	d := t.d
	g := d.Group(t.begin.Route.Service)
	began := d.cfg.Clock.Now()
	hold := t.begin.holdUntil(began)
	var reason error
	for range maxAttempts {
		l, err := g.AwaitLeader(hold)
		if err != nil {
			return d.refuse(req, exchanger.Busy, "no primary is known", errors.Join(err, reason)), false
		}
		b := d.backend(l.Server.ID)
		if b == nil {
			g.Suspect(l.Server.ID, "not listed")
			reason = errUnknownServer
			continue
		}
		begin, err := t.beginStatement(g, req, hold)
		if err != nil {
			return d.refuse(req, exchanger.Busy, "no current position is known", err), false
		}
		a, err := t.beginAt(b, req, begin)
		if err == nil && a.OK() {
			t.leader = l
			t.startProof(g, l, began)
			return a, true
		}
		if errors.Is(err, errSilent) || errors.Is(err, errOverloaded) {
			d.doubtUnreachable(g, l)
			return d.refuse(req, exchanger.Busy, "the primary could not begin the transaction", err), false
		}
		if err != nil {
			d.doubtUnreachable(g, l)
			reason = err
		} else {
			reason = d.afterRefusal(g, l, a)
		}
		d.noteRetry(req, b.id, "transaction did not begin", reason)
	}
	return d.refuse(req, exchanger.Busy, "the primary could not begin the transaction", reason), false
}

// beginStatement returns the begin for the primary. Routes with a staleness
// need a position that is young enough; a server that does not cover it is a
// primary of the past.
func (t *Transaction) beginStatement(g *attester.Group, req Request, hold time.Time) (exchanger.Statement, error) {
	if t.begin.Route.Reads == informer.PrimaryReads {
		return exchanger.Statement{Kind: t.begin.Statement.Kind}, nil
	}
	open := t.begin
	open.Received = req.Received
	f, err := t.d.floorOf(open, hold)
	return exchanger.Statement{Kind: exchanger.Begin, MinPosition: f.position}, err
}

// startProof asks for the witness of a transaction that reads at the primary.
// A plain begin is refused by a server that does not lead; for a read-only one
// the leader must report besides.
func (t *Transaction) startProof(g *attester.Group, l attester.Leader, began time.Time) {
	if t.begin.Route.Reads != informer.PrimaryReads || g.IsPermitted(l) {
		return
	}
	deadline := began.Add(t.begin.Route.StatementTimeout)
	witness := make(chan error, 1)
	t.witness = witness
	go func() {
		if t.readOnly {
			witness <- g.Confirm(l, deadline)
			return
		}
		witness <- g.Witness(began, l, deadline)
	}()
}

// beginAt begins the transaction on a new link of the server. Statements
// follow only after the begin has been answered: behind a begin that failed
// they would run by themselves.
func (t *Transaction) beginAt(b *backend, req Request, begin exchanger.Statement) (exchanger.Answer, error) {
	now := t.d.cfg.Clock.Now()
	deadline := now.Add(t.begin.Route.StatementTimeout)
	open := t.begin
	open.Received, open.Context = now, req.Context
	l, leave, err := t.d.link(b, t.d.need(open, writePatience))
	if err != nil {
		return exchanger.Answer{}, err
	}
	answers, err := t.d.exchange(b, l, false, func() ([]exchanger.Answer, error) { return l.Run(deadline, req.Context, begin) })
	leave()
	if err != nil {
		b.release(l, false)
		return exchanger.Answer{}, err
	}
	a := answers[0]
	if !a.OK() || a.State != exchanger.InTransaction {
		b.release(l, a.State == exchanger.Idle)
		return a, nil
	}
	t.backend, t.link = b, l
	return a, nil
}
