package dispatcher

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
)

// RunForwarded runs another instance's statements on a connection of this instance,
// which acts as a gateway. It implements [forwarder.Runner].
func (d *Dispatcher) RunForwarded(r forwarder.Request) forwarder.Reply {
	if r.Discard {
		if p := d.pinned.discard(r.Transaction); p != nil {
			go d.rollBack(p)
		}
		return forwarder.Reply{}
	}
	if len(r.Statements) == 0 {
		return forwarder.Reply{Failure: forwarder.NotSent, Text: "no statements"}
	}
	p, reply := d.pinnedConnFor(r)
	if p == nil {
		d.logRefused(r, reply)
		return reply
	}
	began := d.cfg.Clock.Now()
	deadline := began.Add(r.Timeout)
	answers, err := d.exchange(p.backend, p.conn, r.IsWrite, func() ([]exchanger.Answer, error) {
		if r.IsPlain {
			return p.conn.RunPlain(deadline, r.Statements...)
		}
		return p.conn.Run(deadline, r.Context, r.Statements...)
	})
	p.releaseSlot()
	if r.Transaction == "" && !r.IsWrite && !r.IsPlain && isSingleRead(r.Statements[0]) {
		// The route is known only at the instance that has the caller.
		d.gradeRead(p.backend, "", d.cfg.Clock.Since(began), answers, err)
	}
	if len(answers) > 0 {
		p.backend.observePosition(d.cfg.Clock.Now(), r.Statements[0], answers[0])
	}
	d.pinOrRelease(r, p, answers, err)
	d.count.forwarded.Inc(1)
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
func (d *Dispatcher) pinnedConnFor(r forwarder.Request) (*pinnedConn, forwarder.Reply) {
	if isInTransaction(r) {
		if p := d.pinned.take(r.Transaction, r.Team); p != nil {
			p.releaseSlot, p.waited = p.backend.acquireSlotNow(admitter.Urgency{Priority: r.Priority, Team: r.Team}), 0
			return p, forwarder.Reply{}
		}
		return nil, forwarder.Reply{Failure: forwarder.NoTransaction}
	}
	now := d.cfg.Clock.Now()
	b := d.backend(r.Server)
	if b == nil || !d.acceptsForwarded(b, now) {
		return nil, forwarder.Reply{Failure: forwarder.NotGateway}
	}
	cr := connRequest{
		team: r.Team, isOwn: r.IsPlain && r.Team == "", priority: r.Priority, waitDeadline: now.Add(r.MaxWait), remaining: r.Remaining, due: now.Add(r.Remaining), isWrite: r.IsWrite, left: r.Left, values: r.Context.Values,
	}
	b.addInFlight(1)
	c, releaseSlot, err := b.acquire(now, cr)
	if err != nil {
		b.addInFlight(-1)
		return nil, failureReply(err)
	}
	return &pinnedConn{backend: b, conn: c, busy: true, releaseSlot: releaseSlot, waited: d.cfg.Clock.Since(now)}, forwarder.Reply{}
}

// isInTransaction reports whether the request continues a transaction.
func isInTransaction(r forwarder.Request) bool {
	k := r.Statements[0].Kind
	return r.Transaction != "" && k != exchanger.Begin && k != exchanger.BeginReadOnly
}

// acceptsForwarded reports whether this instance is a gateway of the server and takes
// new work of other instances.
func (d *Dispatcher) acceptsForwarded(b *backend, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rank >= 0 && !d.isStopping.Load() && d.acceptsNewWork(b.server, now)
}

// pinOrRelease keeps the connection while a transaction is open on it, and releases
// it otherwise.
func (d *Dispatcher) pinOrRelease(r forwarder.Request, p *pinnedConn, answers []exchanger.Answer, err error) {
	isIdle := err == nil && answers[len(answers)-1].State == exchanger.Idle
	isOpen := err == nil && !isIdle && r.Transaction != ""
	if isOpen && !isInTransaction(r) && hasLeft(r.Left) {
		// Nobody would continue or end it.
		go d.rollBack(p)
		return
	}
	if isOpen && d.pinned.put(r.Transaction, p, d.cfg.Clock.Now()) {
		return
	}
	d.pinned.remove(r.Transaction)
	p.backend.release(p.conn, isIdle)
}

// hasLeft reports whether the caller has left.
func hasLeft(left <-chan struct{}) bool {
	select {
	case <-left:
		return true
	default:
		return false
	}
}

// failureReply returns the reply for a request that got no connection.
func failureReply(err error) forwarder.Reply {
	var refused *exchanger.RefusedError
	var o overload
	switch {
	case errors.Is(err, errCallerLeft):
		return forwarder.Reply{Failure: forwarder.NotSent, Text: err.Error()}
	case errors.As(err, &o):
		return forwarder.Reply{Failure: forwarder.Overloaded, ExpectedWait: o.wait}
	case errors.Is(err, errOverloaded):
		return forwarder.Reply{Failure: forwarder.Overloaded, Text: err.Error()}
	case errors.Is(err, errSilent):
		return forwarder.Reply{Failure: forwarder.Silent}
	case errors.Is(err, errStalled):
		return forwarder.Reply{Failure: forwarder.Stalled}
	case errors.As(err, &refused):
		return forwarder.Reply{Failure: forwarder.Refused, Code: refused.Code, Text: refused.Text}
	}
	return forwarder.Reply{Failure: forwarder.Unreachable, Text: err.Error()}
}

func (d *Dispatcher) logRefused(r forwarder.Request, reply forwarder.Reply) {
	d.count.forwardsRefused.Inc(1)
	d.cfg.Log.WithFields(withTeam(logrus.Fields{
		"request": r.Statements[0].ID, "server": r.Server, "failure": reply.Failure.String(), "left": r.Remaining.String(), "cause": reply.Text,
	}, r.Team)).Info("dispatcher: statement of another instance is not run")
}

// StopForwarding makes this instance refuse new work of other instances, which then
// use other gateways. Open transactions may continue to their end.
func (d *Dispatcher) StopForwarding() {
	d.isStopping.Store(true)
	d.self.markLost()
}

// drainPause is the pause between two checks for open transactions.
const drainPause = 20 * time.Millisecond

// AwaitForwardedTransactions waits until no other instance has a transaction open
// here, but not longer than the limit. It returns how many are still open.
func (d *Dispatcher) AwaitForwardedTransactions(limit time.Duration) int {
	deadline := d.cfg.Clock.Now().Add(limit)
	for d.pinned.count() > 0 && d.cfg.Clock.Now().Before(deadline) {
		d.cfg.Clock.Sleep(drainPause)
	}
	return d.pinned.count()
}
