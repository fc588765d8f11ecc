package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/linker"
)

// maxGatewayAttempts bounds how many gateways a request is offered to.
const maxGatewayAttempts = 3

// forwardedLink is a link of a gateway's, which may be this instance. The gateway
// is chosen by the first statement; while a transaction is open it stays the same.
// If no gateway can be reached, a connection of this instance's is used.
type forwardedLink struct {
	d    *Dispatcher
	b    *backend
	need need
	// asked is when need was made.
	asked time.Time

	// gateway holds the open transaction with the id.
	gateway     *gateway
	transaction string
	// direct is a connection of this instance's: it is the gateway, or none could
	// be reached.
	direct *linker.Link
	// queued is how long the last statement waited for its turn on a connection of
	// this instance's. What it waits elsewhere shows how busy that gateway is.
	queued time.Duration
	broken bool
}

// Run implements [link].
func (l *forwardedLink) Run(deadline time.Time, c linker.Context, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	return l.run(deadline, forwarder.Request{Context: c, Statements: statements})
}

// RunPlain implements [link].
func (l *forwardedLink) RunPlain(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	return l.run(deadline, forwarder.Request{IsPlain: true, Statements: statements})
}

// IsBroken implements [link].
func (l *forwardedLink) IsBroken() bool { return l.broken || l.direct != nil && l.direct.IsBroken() }

func (l *forwardedLink) run(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	if l.direct != nil {
		return l.runDirect(deadline, r)
	}
	r.Service, r.Server, r.Priority = l.b.Target().Service, l.b.id, l.need.priority
	r.IsWrite = l.need.isWrite || r.Statements[0].Kind == exchanger.Commit
	if l.gateway != nil {
		r.Transaction = l.transaction
		reply, err := l.forward(l.gateway, deadline, r)
		return l.take(l.gateway, r, reply, err)
	}
	if k := r.Statements[0].Kind; k == exchanger.Begin || k == exchanger.BeginReadOnly {
		r.Transaction = l.d.nextTransaction()
	}
	return l.offer(deadline, r)
}

// offer sends the request to one gateway after the other until one has run it. A
// gateway that has too many requests is not passed over: it orders the server's
// work, and it is the server that has more than it can run.
func (l *forwardedLink) offer(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	var tried []*gateway
	last := fmt.Errorf("%w: %w", errGateway, errNoGateway)
	for len(tried) < maxGatewayAttempts {
		now := l.d.cfg.Clock.Now()
		g := l.b.chooseGateway(now, tried)
		if g == nil || !now.Before(deadline) {
			break
		}
		tried = append(tried, g)
		if g.isSelf {
			return l.runHere(now, deadline, r)
		}
		reply, err := l.forward(g, deadline, r)
		answers, err := l.take(g, r, reply, err)
		if err == nil || !errors.Is(err, exchanger.ErrNotSent) {
			return answers, err
		}
		last = err
		l.d.cfg.Log.WithError(err).WithFields(logrus.Fields{
			"request": r.Statements[0].ID, "server": l.b.id, "gateway": g.peer.Name,
		}).Info("dispatcher: gateway did not run the statement")
		if reply.Failure != forwarder.None && reply.Failure != forwarder.NotGateway {
			return nil, last
		}
	}
	return l.connect(deadline, r, last)
}

// runHere runs the request on a connection of this instance, which is a gateway.
func (l *forwardedLink) runHere(now, deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	n := l.need
	n.left -= now.Sub(l.asked)
	direct, leave, err := l.b.enter(now, n)
	if err != nil {
		return nil, errors.Join(exchanger.ErrNotSent, errGateway, err)
	}
	defer leave()
	l.direct, l.queued = direct, l.d.cfg.Clock.Since(now)
	return l.send(deadline, r)
}

// connect runs the request on a connection of this instance's because no
// gateway could be reached.
func (l *forwardedLink) connect(deadline time.Time, r forwarder.Request, cause error) ([]exchanger.Answer, error) {
	direct, err := l.b.Pool.Acquire(l.need.priority, l.need.wait, l.need.values)
	if err != nil {
		if errors.Is(err, linker.ErrNoLink) {
			err = errors.Join(errOverloaded, err)
		}
		return nil, errors.Join(exchanger.ErrNotSent, errGateway, cause, err)
	}
	l.direct = direct
	return l.runDirect(deadline, r)
}

// runDirect runs a statement on the connection of this instance's.
func (l *forwardedLink) runDirect(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	l.queued = 0
	return l.b.inTurn(func() ([]exchanger.Answer, error) { return l.send(deadline, r) })
}

func (l *forwardedLink) send(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	if r.IsPlain {
		return l.direct.RunPlain(deadline, r.Statements...)
	}
	return l.direct.Run(deadline, r.Context, r.Statements...)
}

func (l *forwardedLink) forward(g *gateway, deadline time.Time, r forwarder.Request) (forwarder.Reply, error) {
	now := l.d.cfg.Clock.Now()
	r.Timeout, r.Wait = deadline.Sub(now), l.need.wait.Sub(now)
	// The objective passes while other gateways are asked.
	r.Left = l.need.left - now.Sub(l.asked)
	defer g.exchanges.begin(now)()
	// What may run again is not kept waiting for a gateway that is lost.
	ctx, cancel := context.Background(), context.CancelFunc(func() {})
	if l.gateway == nil && !r.IsWrite {
		ctx, cancel = g.whileAlive()
	}
	defer cancel()
	reply, err := l.d.cfg.Forwarder.Forward(ctx, g.peer.Address, r)
	if err == nil {
		g.noteAnswer(l.d.cfg.Clock.Now())
	}
	return reply, err
}

// take turns a gateway's reply into answers. Errors that wrap
// [exchanger.ErrNotSent] mean that nothing ran.
func (l *forwardedLink) take(g *gateway, r forwarder.Request, reply forwarder.Reply, err error) ([]exchanger.Answer, error) {
	now := l.d.cfg.Clock.Now()
	if errors.Is(err, forwarder.ErrNotSent) {
		l.d.loseGateway(g, err)
		return nil, l.fail(errors.Join(exchanger.ErrNotSent, errGateway, err))
	}
	if err != nil {
		l.d.loseGateway(g, err)
		l.broken = true
		return nil, errors.Join(exchanger.ErrConnectionLost, errGateway, err)
	}
	switch {
	case reply.Failure == forwarder.None && len(reply.Answers) == len(r.Statements):
		l.settle(g, r, reply.Answers)
		return reply.Answers, nil
	case !reply.Failure.IsNotRun():
		l.broken = true
		return reply.Answers, fmt.Errorf("%w: at the gateway: %s %s", exchanger.ErrConnectionLost, reply.Failure, reply.Text)
	case reply.Failure == forwarder.NotGateway:
		g.spare(now.Add(avoidFormerGateway))
	}
	return nil, l.fail(errors.Join(exchanger.ErrNotSent, failureError(reply)))
}

// fail marks the link as broken if the failed statement belongs to an open
// transaction.
func (l *forwardedLink) fail(err error) error {
	l.broken = l.gateway != nil
	return err
}

// failureError returns the error of a request that a gateway did not run. All
// but those of the server itself are marked as the gateway's.
func failureError(reply forwarder.Reply) error {
	text := errors.New("gateway: " + reply.Failure.String() + " " + reply.Text)
	switch reply.Failure {
	case forwarder.Overloaded:
		return errors.Join(errGateway, overload{reply.Wait}, text)
	case forwarder.Silent:
		return errors.Join(errGateway, errSilent, text)
	case forwarder.Stalled:
		return errors.Join(errGateway, errStalled, text)
	case forwarder.Refused:
		return errors.Join(errGateway, &exchanger.RefusedError{Code: reply.Code, Text: reply.Text})
	case forwarder.Unreachable:
		return text
	}
	return errors.Join(errGateway, text)
}

// settle keeps the gateway while a transaction is open.
func (l *forwardedLink) settle(g *gateway, r forwarder.Request, answers []exchanger.Answer) {
	if r.Transaction == "" || len(answers) == 0 || answers[len(answers)-1].State == exchanger.Idle {
		l.gateway, l.transaction = nil, ""
		return
	}
	l.gateway, l.transaction = g, r.Transaction
}

// end gives the connection back. A transaction that is still open is ended by
// closing its connection at the gateway.
func (l *forwardedLink) end(atRest bool) {
	if l.direct != nil {
		l.b.Pool.Release(l.direct, atRest)
		return
	}
	if l.gateway == nil {
		return
	}
	g, r := l.gateway, forwarder.Request{
		Service: l.b.Target().Service, Server: l.b.id, Transaction: l.transaction, Discard: true, Timeout: abandonTimeout,
	}
	go func() {
		if _, err := l.d.cfg.Forwarder.Forward(context.Background(), g.peer.Address, r); err != nil {
			l.d.cfg.Log.WithError(err).WithField("gateway", g.peer.Name).Info("dispatcher: transaction at a gateway was not ended; it lapses by itself")
		}
	}()
}

// errNoGateway means that every gateway of a server was tried.
var errNoGateway = errors.New("no gateway of the backend server is left")

// nextTransaction returns an id that no other transaction of any instance has.
func (d *Dispatcher) nextTransaction() string {
	return d.cfg.Instance + "/" + strconv.FormatInt(d.cfg.TimeOfDay().UnixNano(), 36) + "/" + strconv.FormatUint(d.turns.Add(1), 36)
}
