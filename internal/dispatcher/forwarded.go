package dispatcher

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
)

// RunForwarded runs another instance's statements on a connection of this one's.
// It implements [forwarder.Runner].
func (d *Dispatcher) RunForwarded(r forwarder.Request) forwarder.Reply {
	if r.Discard {
		if v := d.reserved.discard(r.Transaction); v != nil {
			go d.rollBack(v)
		}
		return forwarder.Reply{}
	}
	if len(r.Statements) == 0 {
		return forwarder.Reply{Failure: forwarder.NotSent, Text: "no statements"}
	}
	v, reply := d.reservation(r)
	if v == nil {
		d.logRefused(r, reply)
		return reply
	}
	deadline := d.cfg.Clock.Now().Add(r.Timeout)
	answers, err := d.exchange(v.backend, v.link, r.IsWrite, func() ([]exchanger.Answer, error) {
		if r.IsPlain {
			return v.link.RunPlain(deadline, r.Statements...)
		}
		return v.link.Run(deadline, r.Context, r.Statements...)
	})
	v.leave()
	d.keepOrRelease(r, v, answers, err)
	d.count.forwarded.Inc(1)
	reply = forwarder.Reply{Answers: answers}
	switch {
	case errors.Is(err, exchanger.ErrNotSent):
		reply.Failure, reply.Text = forwarder.NotSent, err.Error()
	case err != nil:
		reply.Failure, reply.Text = forwarder.Lost, err.Error()
	}
	return reply
}

// reservation returns the link on which the request runs, or the reply that
// says why there is none.
func (d *Dispatcher) reservation(r forwarder.Request) (*reservation, forwarder.Reply) {
	if isInside(r) {
		if v := d.reserved.take(r.Transaction); v != nil {
			v.leave = v.backend.join()
			return v, forwarder.Reply{}
		}
		return nil, forwarder.Reply{Failure: forwarder.NoTransaction}
	}
	now := d.cfg.Clock.Now()
	b := d.backend(r.Server)
	if b == nil || !d.takesForwarded(b, now) {
		return nil, forwarder.Reply{Failure: forwarder.NotGateway}
	}
	n := need{
		priority: r.Priority, wait: now.Add(r.Wait), left: r.Left, due: now.Add(r.Left), isWrite: r.IsWrite, values: r.Context.Values,
	}
	b.count(1)
	l, leave, err := b.enter(now, n)
	if err != nil {
		b.count(-1)
		return nil, failureReply(err)
	}
	return &reservation{backend: b, link: l, busy: true, leave: leave}, forwarder.Reply{}
}

// isInside reports whether the request continues a transaction.
func isInside(r forwarder.Request) bool {
	k := r.Statements[0].Kind
	return r.Transaction != "" && k != exchanger.Begin && k != exchanger.BeginReadOnly
}

// takesForwarded reports whether this instance runs statements of others at the
// server.
func (d *Dispatcher) takesForwarded(b *backend, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rank >= 0 && !d.isStopping.Load() && d.accepts(b.server, now)
}

// keepOrRelease keeps the link while a transaction is open on it.
func (d *Dispatcher) keepOrRelease(r forwarder.Request, v *reservation, answers []exchanger.Answer, err error) {
	atRest := err == nil && answers[len(answers)-1].State == exchanger.Idle
	isOpen := err == nil && !atRest && r.Transaction != ""
	if isOpen && d.reserved.put(r.Transaction, v, d.cfg.Clock.Now()) {
		return
	}
	d.reserved.remove(r.Transaction)
	v.backend.release(v.link, atRest)
}

func failureReply(err error) forwarder.Reply {
	var refused *exchanger.RefusedError
	var o overload
	switch {
	case errors.As(err, &o):
		return forwarder.Reply{Failure: forwarder.Overloaded, Wait: o.wait}
	case errors.Is(err, errOverloaded):
		return forwarder.Reply{Failure: forwarder.Overloaded}
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
	d.cfg.Log.WithFields(logrus.Fields{
		"request": r.Statements[0].ID, "server": r.Server, "failure": reply.Failure.String(), "left": r.Left.String(), "cause": reply.Text,
	}).Info("dispatcher: statement of another instance is not run")
}

// StopForwarding makes other instances use other gateways from now on. Open
// transactions may end.
func (d *Dispatcher) StopForwarding() {
	d.isStopping.Store(true)
	d.self.lose()
}

// drainPause separates two looks whether transactions of others have ended.
const drainPause = 20 * time.Millisecond

// AwaitForwarded waits until no other instance has a transaction open here, but
// not longer than the limit. It returns how many are still open.
func (d *Dispatcher) AwaitForwarded(limit time.Duration) int {
	deadline := d.cfg.Clock.Now().Add(limit)
	for d.reserved.count() > 0 && d.cfg.Clock.Now().Before(deadline) {
		d.cfg.Clock.Sleep(drainPause)
	}
	return d.reserved.count()
}
