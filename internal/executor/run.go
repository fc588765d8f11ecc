package executor

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/appraiser"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
)

// RunForwarded runs another instance's statements on a connection of this instance,
// which acts as a gateway. It implements [forwarder.Runner].
func (e *Executor) RunForwarded(r forwarder.Request) forwarder.Reply {
	if r.Discard {
		if p := e.pinned.discard(r.Transaction, e.cfg.Clock.Now()); p != nil {
			go e.rollBack(p)
		}
		return forwarder.Reply{}
	}
	if len(r.Statements) == 0 {
		return forwarder.Reply{Failure: forwarder.NotSent, Text: "no statements"}
	}
	p, reply := e.pinnedConnFor(r)
	if p == nil {
		e.logRefused(r, reply)
		return reply
	}
	began := e.cfg.Clock.Now()
	deadline := began.Add(r.Timeout)
	answers, err := p.backend.Exchange(p.conn, r.IsWrite, func() ([]exchanger.Answer, error) {
		if r.IsPlain {
			return p.conn.RunPlain(deadline, r.Statements...)
		}
		return p.conn.Run(deadline, r.Context, r.Statements...)
	})
	p.releaseSlot()
	if r.Transaction == "" && !r.IsWrite && !r.IsPlain && appraiser.IsSingleRead(r.Statements[0]) {
		// The route is known only at the instance that has the caller.
		e.cfg.Appraiser.GradeRead(p.backend, "", e.cfg.Clock.Since(began), answers, err)
	}
	if len(answers) > 0 {
		p.backend.ObservePosition(e.cfg.Clock.Now(), r.Statements[0], answers[0])
	}
	e.pinOrRelease(r, p, answers, err)
	e.forwarded.Inc(1)
	reply = forwarder.Reply{Answers: answers, Waited: p.waited}
	switch {
	case errors.Is(err, exchanger.ErrNotSent):
		reply.Failure, reply.Text = forwarder.NotSent, err.Error()
	case err != nil:
		reply.Failure, reply.Text = forwarder.Lost, err.Error()
	}
	return reply
}

// pinnedConnFor returns the connection on which the request runs: the pinned one if
// it continues a transaction, otherwise a new one. Without a connection it returns
// the reply that says why.
func (e *Executor) pinnedConnFor(r forwarder.Request) (*pinnedConn, forwarder.Reply) {
	if isInTransaction(r) {
		if p := e.pinned.take(r.Transaction, r.Team); p != nil {
			p.releaseSlot, p.waited = p.backend.AcquireSlotNow(admitter.Urgency{Priority: r.Priority, Team: r.Team}), 0
			return p, forwarder.Reply{}
		}
		return nil, forwarder.Reply{Failure: forwarder.NoTransaction}
	}
	now := e.cfg.Clock.Now()
	if e.pinned.discarded.contains(r.Transaction, now) {
		return nil, forwarder.Reply{Failure: forwarder.NotSent, Text: "the transaction was discarded before its begin arrived"}
	}
	b := e.cfg.Backend(r.Server)
	if b == nil || !e.accepts(b, now) {
		return nil, forwarder.Reply{Failure: forwarder.NotGateway}
	}
	cr := connector.Request{
		Team: r.Team, IsOwn: r.IsPlain && r.Team == "", Priority: r.Priority, WaitDeadline: now.Add(r.MaxWait), Remaining: r.Remaining, Due: now.Add(r.Remaining), IsWrite: r.IsWrite, Left: r.Left, Values: r.Context.Values,
	}
	c, releaseSlot, err := b.Open(now, cr)
	if err != nil {
		return nil, failureReply(err)
	}
	return &pinnedConn{backend: b, conn: c, busy: true, releaseSlot: releaseSlot, waited: e.cfg.Clock.Since(now)}, forwarder.Reply{}
}

// isInTransaction reports whether the request continues a transaction.
func isInTransaction(r forwarder.Request) bool {
	k := r.Statements[0].Kind
	return r.Transaction != "" && k != exchanger.Begin && k != exchanger.BeginReadOnly
}

// accepts reports whether this instance is a gateway of the server and takes
// new work of other instances.
func (e *Executor) accepts(b *connector.Backend, now time.Time) bool {
	return b.IsGateway() && !e.isStopping.Load() && e.cfg.AcceptsNewWork(b, now)
}

// pinOrRelease keeps the connection while a transaction is open on it, and releases
// it otherwise.
func (e *Executor) pinOrRelease(r forwarder.Request, p *pinnedConn, answers []exchanger.Answer, err error) {
	isIdle := err == nil && answers[len(answers)-1].State == exchanger.Idle
	isOpen := err == nil && !isIdle && r.Transaction != ""
	if isOpen && !isInTransaction(r) && connector.HasLeft(r.Left) {
		// Nobody would continue or end it.
		go e.rollBack(p)
		return
	}
	if isOpen {
		if !e.pinned.put(r.Transaction, p, e.cfg.Clock.Now()) {
			go e.rollBack(p)
		}
		return
	}
	e.pinned.remove(r.Transaction)
	p.conn.Release(isIdle)
}

// failureReply returns the reply for a request that got no connection.
func failureReply(err error) forwarder.Reply {
	var refused *exchanger.RefusedError
	var o connector.Overload
	switch {
	case errors.Is(err, connector.ErrCallerLeft), errors.Is(err, connector.ErrDrained):
		return forwarder.Reply{Failure: forwarder.NotSent, Text: err.Error()}
	case errors.As(err, &o):
		return forwarder.Reply{Failure: forwarder.Overloaded, ExpectedWait: o.Wait}
	case errors.Is(err, connector.ErrOverloaded):
		return forwarder.Reply{Failure: forwarder.Overloaded, Text: err.Error()}
	case errors.Is(err, connector.ErrSilent):
		return forwarder.Reply{Failure: forwarder.Silent}
	case errors.Is(err, connector.ErrStalled):
		return forwarder.Reply{Failure: forwarder.Stalled}
	case errors.As(err, &refused):
		return forwarder.Reply{Failure: forwarder.Refused, Code: refused.Code, Text: refused.Text}
	}
	return forwarder.Reply{Failure: forwarder.Unreachable, Text: err.Error()}
}

func (e *Executor) logRefused(r forwarder.Request, reply forwarder.Reply) {
	e.refused.Inc(1)
	fields := logrus.Fields{
		"request": r.Statements[0].ID, "server": r.Server, "failure": reply.Failure.String(), "left": r.Remaining.String(), "cause": reply.Text,
	}
	if r.Team != "" {
		fields["team"] = r.Team
	}
	e.cfg.Log.WithFields(fields).Info("dispatcher: statement of another instance is not run")
}
