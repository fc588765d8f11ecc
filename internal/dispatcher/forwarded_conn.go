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

// maxGatewayAttempts bounds how many gateways a request is sent to.
const maxGatewayAttempts = 3

// forwardedConn is a connection through a gateway, which may be this instance. The
// first statement chooses the gateway; while a transaction is open it stays the
// same. If no gateway can be reached, a connection of this instance is used.
type forwardedConn struct {
	d   *Dispatcher
	b   *backend
	req connRequest
	// createdAt is when req was made; req.remaining counts from then.
	createdAt time.Time

	// gateway holds the open transaction with the id; nil if none is open there.
	gateway     *gateway
	transaction string
	// direct is a connection of this instance: it is the gateway itself, or no
	// gateway could be reached.
	direct *linker.Conn
	// slotWait is how long the last statement waited for a slot and a connection, at
	// this instance or at a gateway. It does not count as the server's latency.
	slotWait time.Duration
	broken   bool
}

// Run implements [conn].
func (c *forwardedConn) Run(deadline time.Time, want linker.Context, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	return c.run(deadline, forwarder.Request{Context: want, Statements: statements})
}

// RunPlain implements [conn].
func (c *forwardedConn) RunPlain(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	return c.run(deadline, forwarder.Request{IsPlain: true, Statements: statements})
}

// IsBroken implements [conn].
func (c *forwardedConn) IsBroken() bool { return c.broken || c.direct != nil && c.direct.IsBroken() }

func (c *forwardedConn) run(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	if c.direct != nil {
		return c.runDirect(deadline, r)
	}
	r.Service, r.Server, r.Team, r.Priority = c.b.Target().Service, c.b.id, c.req.team, c.req.priority
	r.IsWrite = c.req.isWrite || r.Statements[0].Kind == exchanger.Commit
	if c.gateway == nil && c.req.hasLeft() {
		c.d.count.left.Inc(1)
		return nil, errors.Join(exchanger.ErrNotSent, errGateway, errCallerLeft)
	}
	if c.gateway != nil {
		r.Transaction = c.transaction
		reply, err := c.forward(c.gateway, deadline, r)
		return c.handleReply(c.gateway, r, reply, err)
	}
	if k := r.Statements[0].Kind; k == exchanger.Begin || k == exchanger.BeginReadOnly {
		r.Transaction = c.d.nextTransaction()
	}
	return c.runAtGateway(deadline, r)
}

// runAtGateway sends the request to one gateway after the other until one has run it.
// A gateway that is reached but refuses the request, for example because it is
// overloaded, ends the search unless it says that it is no gateway: it schedules all
// work of the server, so the overload is the server's. One without a connection, because
// the server accepts no more, does not end it either: another gateway may have one.
func (c *forwardedConn) runAtGateway(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	var tried []*gateway
	last := fmt.Errorf("%w: %w", errGateway, errNoGateway)
	for len(tried) < maxGatewayAttempts {
		now := c.d.cfg.Clock.Now()
		g := c.b.chooseGateway(now, tried)
		if g == nil || !now.Before(deadline) {
			break
		}
		tried = append(tried, g)
		if g.isSelf {
			answers, err := c.runAtSelf(now, deadline, r)
			if !isConnectionRefused(err) {
				return answers, err
			}
			last = err
			continue
		}
		reply, err := c.forward(g, deadline, r)
		answers, err := c.handleReply(g, r, reply, err)
		if err == nil || !errors.Is(err, exchanger.ErrNotSent) {
			return answers, err
		}
		last = err
		c.d.cfg.Log.WithError(err).WithFields(logrus.Fields{
			"request": r.Statements[0].ID, "server": c.b.id, "gateway": g.peer.Name,
		}).Info("dispatcher: gateway did not run the statement")
		if reply.Failure != forwarder.None && reply.Failure != forwarder.NotGateway && !isConnectionRefused(err) {
			return nil, last
		}
	}
	if isConnectionRefused(last) {
		return nil, last
	}
	return c.runWithoutGateway(deadline, r, last)
}

// isConnectionRefused reports whether a server refused a connection because it has too many.
func isConnectionRefused(err error) bool {
	var refused *exchanger.RefusedError
	return errors.As(err, &refused) && refused.Code == exchanger.TooManyConnections
}

// runAtSelf runs the request on a connection of this instance, which is the chosen
// gateway.
func (c *forwardedConn) runAtSelf(now, deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	cr := c.req
	cr.remaining -= now.Sub(c.createdAt)
	direct, releaseSlot, err := c.b.acquire(now, cr)
	if err != nil {
		return nil, errors.Join(exchanger.ErrNotSent, errGateway, err)
	}
	defer releaseSlot()
	c.direct, c.slotWait = direct, c.d.cfg.Clock.Since(now)
	return c.send(deadline, r)
}

// runWithoutGateway runs the request on a connection of this instance because no
// gateway could be reached.
func (c *forwardedConn) runWithoutGateway(deadline time.Time, r forwarder.Request, cause error) ([]exchanger.Answer, error) {
	direct, err := c.b.Pool.Acquire(c.req.linkerRequest())
	if err != nil {
		if errors.Is(err, linker.ErrNoConn) {
			err = errors.Join(errOverloaded, err)
		}
		return nil, errors.Join(exchanger.ErrNotSent, errGateway, cause, err)
	}
	c.direct = direct
	return c.runDirect(deadline, r)
}

// runDirect runs a statement on the connection of this instance, in a slot that it
// gets without waiting.
func (c *forwardedConn) runDirect(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	c.slotWait = 0
	c.d.countZoneTraffic(c.b.zone(), r)
	return c.b.runInSlot(c.req.urgency(), func() ([]exchanger.Answer, error) { return c.send(deadline, r) })
}

// send runs the request's statements on the connection of this instance.
func (c *forwardedConn) send(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	if r.IsPlain {
		return c.direct.RunPlain(deadline, r.Statements...)
	}
	return c.direct.Run(deadline, r.Context, r.Statements...)
}

// forward sends the request to the gateway.
func (c *forwardedConn) forward(g *gateway, deadline time.Time, r forwarder.Request) (forwarder.Reply, error) {
	now := c.d.cfg.Clock.Now()
	r.Timeout, r.MaxWait = deadline.Sub(now), c.req.waitDeadline.Sub(now)
	// Time passes while other gateways are asked.
	r.Remaining = c.req.remaining - now.Sub(c.createdAt)
	defer g.exchanges.begin(now)()
	// A statement that may run again does not wait for a gateway that is lost. A read or a
	// begin whose caller has left is withdrawn from the gateway's queue. Writes and
	// statements of open transactions are not: their outcome would be unknown here.
	ctx, cancel := context.Background(), context.CancelFunc(func() {})
	if c.gateway == nil && !r.IsWrite {
		ctx, cancel = g.contextUntilLost(c.req.left)
	}
	defer cancel()
	c.d.countZoneTraffic(g.peer.Zone, r)
	reply, err := c.d.cfg.Forwarder.Forward(ctx, g.peer.Address, r)
	if err == nil {
		g.noteAnswer(c.d.cfg.Clock.Now())
	}
	return reply, err
}

// handleReply converts a gateway's reply to answers. Errors that wrap
// [exchanger.ErrNotSent] mean that nothing ran.
func (c *forwardedConn) handleReply(g *gateway, r forwarder.Request, reply forwarder.Reply, err error) ([]exchanger.Answer, error) {
	now := c.d.cfg.Clock.Now()
	if err != nil && errors.Is(err, context.Canceled) && c.req.hasLeft() {
		c.d.count.left.Inc(1)
		c.broken = true
		if r.Transaction != "" {
			// The gateway may have begun the transaction before the call was canceled.
			c.discard(g, r.Transaction)
		}
		return nil, errors.Join(exchanger.ErrConnectionLost, errGateway, errCallerLeft)
	}
	if errors.Is(err, forwarder.ErrNotSent) {
		c.d.markGatewayLost(g, err)
		return nil, c.fail(errors.Join(exchanger.ErrNotSent, errGateway, err))
	}
	if err != nil {
		c.d.markGatewayLost(g, err)
		c.broken = true
		return nil, errors.Join(exchanger.ErrConnectionLost, errGateway, err)
	}
	switch {
	case reply.Failure == forwarder.None && len(reply.Answers) == len(r.Statements):
		c.slotWait = reply.Waited
		c.updateTransaction(g, r, reply.Answers)
		return reply.Answers, nil
	case !reply.Failure.IsNotRun():
		c.broken = true
		return reply.Answers, fmt.Errorf("%w: at the gateway: %s %s", exchanger.ErrConnectionLost, reply.Failure, reply.Text)
	case reply.Failure == forwarder.NotGateway:
		g.avoidUntil(now.Add(avoidNonGateway))
	case reply.Failure == forwarder.Overloaded && reply.ExpectedWait > 0:
		c.b.observeWait(now, reply.ExpectedWait)
	}
	return nil, c.fail(errors.Join(exchanger.ErrNotSent, failureError(reply)))
}

// fail marks the connection as broken if the failed statement belongs to an open
// transaction.
func (c *forwardedConn) fail(err error) error {
	c.broken = c.gateway != nil
	return err
}

// failureError returns the error of a request that a gateway did not run. All
// errors but those of the server itself wrap errGateway.
func failureError(reply forwarder.Reply) error {
	text := errors.New("gateway: " + reply.Failure.String() + " " + reply.Text)
	switch reply.Failure {
	case forwarder.Overloaded:
		return errors.Join(errGateway, overload{reply.ExpectedWait}, text)
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

// updateTransaction remembers the gateway while a transaction is open there.
func (c *forwardedConn) updateTransaction(g *gateway, r forwarder.Request, answers []exchanger.Answer) {
	if r.Transaction == "" || len(answers) == 0 || answers[len(answers)-1].State == exchanger.Idle {
		c.gateway, c.transaction = nil, ""
		return
	}
	c.gateway, c.transaction = g, r.Transaction
}

// release returns the connection. A transaction that is still open at a gateway is
// rolled back there.
func (c *forwardedConn) release(isIdle bool) {
	if c.direct != nil {
		c.b.Pool.Release(c.direct, isIdle)
		return
	}
	if c.gateway != nil {
		c.discard(c.gateway, c.transaction)
	}
}

// discard rolls a transaction back that is open at the gateway.
func (c *forwardedConn) discard(g *gateway, transaction string) {
	r := forwarder.Request{
		Service: c.b.Target().Service, Server: c.b.id, Transaction: transaction, Discard: true, Timeout: abandonTimeout,
	}
	go func() {
		if _, err := c.d.cfg.Forwarder.Forward(context.Background(), g.peer.Address, r); err != nil {
			c.d.cfg.Log.WithError(err).WithField("gateway", g.peer.Name).Info("dispatcher: cannot end the transaction at the gateway, which rolls it back after its idle limit")
		}
	}()
}

// errCallerLeft means that the caller has left and that nobody waits for an answer. It
// matches errOverloaded, after which no primary is looked for and nothing is tried again at
// one.
var errCallerLeft error = callerLeft{}

type callerLeft struct{}

// Error implements error.
func (callerLeft) Error() string { return "the caller has left" }

// Is makes errors.Is match errOverloaded.
func (callerLeft) Is(target error) bool { return target == errOverloaded }

// callerLeftAnswer ends a read whose caller has left. It does not promise that nothing ran: a
// gateway may have begun the read when it was withdrawn, and the team pays for it.
var callerLeftAnswer = exchanger.Answer{Code: exchanger.Failed, Text: "the caller has left"}

// errNoGateway means that every gateway of a server was tried.
var errNoGateway = errors.New("no gateway of the backend server is left")

// nextTransaction returns a transaction id that is unique among all instances.
func (d *Dispatcher) nextTransaction() string {
	return d.cfg.Instance + "/" + strconv.FormatInt(d.cfg.TimeOfDay().UnixNano(), 36) + "/" + strconv.FormatUint(d.transactionSeq.Add(1), 36)
}
