package delegator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/selector"
)

const (
	// maxGatewayAttempts bounds how many gateways a request is sent to.
	maxGatewayAttempts = 3
	// avoidNonGateway is how long an instance is avoided that is no gateway of the
	// server, or is stopping, until the list of instances shows it.
	avoidNonGateway = 3 * time.Second
	// discardTimeout limits the request to roll back a transaction at its gateway, which
	// is sent maxDiscards times if it is lost, discardPause after the loss. The gateway rolls
	// the transaction back after its idle limit as well.
	discardTimeout = time.Second
	maxDiscards    = 4
	discardPause   = 50 * time.Millisecond
)

// errNoGateway means that every gateway of a server was tried.
var errNoGateway = errors.New("no gateway of the backend server is left")

// Conn is a connection through a gateway, which may be this instance. The
// first statement chooses the gateway; while a transaction is open it stays the
// same. If no gateway can be reached, a connection of this instance is used.
type Conn struct {
	d   *Delegator
	b   *connector.Backend
	req connector.Request
	// createdAt is when req was made; req.Remaining counts from then.
	createdAt time.Time

	// gateway holds the open transaction with the id; nil if none is open there.
	gateway     *selector.Gateway
	transaction string
	// direct is a connection of this instance: it is the gateway itself, or no
	// gateway could be reached.
	direct *linker.Conn
	// slotWait is how long the last statement waited for a slot and a connection, at
	// this instance or at a gateway. It does not count as the server's latency.
	slotWait time.Duration
	broken   bool
}

// Run implements [connector.Conn].
func (c *Conn) Run(deadline time.Time, want linker.Context, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	return c.run(deadline, forwarder.Request{Context: want, Statements: statements})
}

// RunPlain implements [connector.Conn].
func (c *Conn) RunPlain(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	return c.run(deadline, forwarder.Request{IsPlain: true, Statements: statements})
}

// RunNext implements [connector.Conn]. At a gateway, the gateway takes the slot.
func (c *Conn) RunNext(deadline time.Time, _ admitter.Urgency, want linker.Context, s exchanger.Statement) ([]exchanger.Answer, error) {
	return c.Run(deadline, want, s)
}

// SlotWait implements [connector.Conn].
func (c *Conn) SlotWait() (time.Duration, bool) { return c.slotWait, true }

// IsBroken implements [connector.Conn].
func (c *Conn) IsBroken() bool { return c.broken || c.direct != nil && c.direct.IsBroken() }

func (c *Conn) run(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	if c.direct != nil {
		return c.runDirect(deadline, r)
	}
	r.Service, r.Server, r.Team, r.Priority = c.b.Target().Service, c.b.ID, c.req.Team, c.req.Priority
	r.IsWrite = c.req.IsWrite || r.Statements[0].Kind == exchanger.Commit
	if c.gateway == nil && c.req.HasLeft() {
		c.d.left.Inc(1)
		return nil, errors.Join(exchanger.ErrNotSent, connector.ErrGateway, connector.ErrCallerLeft)
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
func (c *Conn) runAtGateway(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	var tried []*selector.Gateway
	last := fmt.Errorf("%w: %w", connector.ErrGateway, errNoGateway)
	for len(tried) < maxGatewayAttempts {
		now := c.d.cfg.Clock.Now()
		g := c.b.ChooseGateway(now, tried)
		if g == nil || !now.Before(deadline) {
			break
		}
		tried = append(tried, g)
		if g.IsSelf() {
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
			"request": r.Statements[0].ID, "server": c.b.ID, "gateway": g.Peer().Name,
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
func (c *Conn) runAtSelf(now, deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	cr := c.req
	cr.Remaining -= now.Sub(c.createdAt)
	direct, releaseSlot, err := c.b.AcquireInSlot(now, cr)
	if err != nil {
		return nil, errors.Join(exchanger.ErrNotSent, connector.ErrGateway, err)
	}
	defer releaseSlot()
	c.direct, c.slotWait = direct, c.d.cfg.Clock.Since(now)
	return c.send(deadline, r)
}

// runWithoutGateway runs the request on a connection of this instance because no
// gateway could be reached.
func (c *Conn) runWithoutGateway(deadline time.Time, r forwarder.Request, cause error) ([]exchanger.Answer, error) {
	direct, err := c.b.AcquireOutOfSlot(c.req)
	if err != nil {
		if errors.Is(err, linker.ErrNoConn) {
			err = errors.Join(connector.ErrOverloaded, err)
		}
		return nil, errors.Join(exchanger.ErrNotSent, connector.ErrGateway, cause, err)
	}
	c.direct = direct
	return c.runDirect(deadline, r)
}

// runDirect runs a statement on the connection of this instance, in a slot that it
// gets without waiting.
func (c *Conn) runDirect(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	c.slotWait = 0
	c.d.countZoneTraffic(c.b.Zone(), r)
	return c.b.RunInSlot(c.req.Urgency(), func() ([]exchanger.Answer, error) { return c.send(deadline, r) })
}

// send runs the request's statements on the connection of this instance.
func (c *Conn) send(deadline time.Time, r forwarder.Request) ([]exchanger.Answer, error) {
	if r.IsPlain {
		return c.direct.RunPlain(deadline, r.Statements...)
	}
	return c.direct.Run(deadline, r.Context, r.Statements...)
}

// forward sends the request to the gateway.
func (c *Conn) forward(g *selector.Gateway, deadline time.Time, r forwarder.Request) (forwarder.Reply, error) {
	now := c.d.cfg.Clock.Now()
	r.Timeout, r.MaxWait = deadline.Sub(now), c.req.WaitDeadline.Sub(now)
	// Time passes while other gateways are asked.
	r.Remaining = c.req.Remaining - now.Sub(c.createdAt)
	defer g.Begin(now)()
	// A statement that may run again does not wait for a gateway that is lost. A read or a
	// begin whose caller has left is withdrawn from the gateway's queue. Writes and
	// statements of open transactions are not: their outcome would be unknown here.
	ctx, cancel := context.Background(), context.CancelFunc(func() {})
	if c.gateway == nil && !r.IsWrite {
		ctx, cancel = g.ContextUntilLost(c.req.Left)
	}
	defer cancel()
	c.d.countZoneTraffic(g.Peer().Zone, r)
	reply, err := c.d.cfg.Forwarder.Forward(ctx, g.Peer().Address, r)
	if err == nil {
		g.NoteAnswer(c.d.cfg.Clock.Now())
	}
	return reply, err
}

// handleReply converts a gateway's reply to answers. Errors that wrap
// [exchanger.ErrNotSent] mean that nothing ran.
func (c *Conn) handleReply(g *selector.Gateway, r forwarder.Request, reply forwarder.Reply, err error) ([]exchanger.Answer, error) {
	now := c.d.cfg.Clock.Now()
	if err != nil && errors.Is(err, context.Canceled) && c.req.HasLeft() {
		c.d.left.Inc(1)
		c.broken = true
		if r.Transaction != "" {
			// The gateway may have begun the transaction before the call was canceled.
			c.discard(g, r.Transaction)
		}
		return nil, errors.Join(exchanger.ErrConnectionLost, connector.ErrGateway, connector.ErrCallerLeft)
	}
	if errors.Is(err, forwarder.ErrNotSent) {
		c.d.cfg.Selector.MarkLost(g, err)
		return nil, c.fail(errors.Join(exchanger.ErrNotSent, connector.ErrGateway, err))
	}
	if err != nil {
		c.d.cfg.Selector.MarkLost(g, err)
		c.broken = true
		if r.Transaction != "" && c.gateway == nil {
			// The gateway may have begun the transaction. Release discards only those that
			// are known to be open.
			c.discard(g, r.Transaction)
		}
		return nil, errors.Join(exchanger.ErrConnectionLost, connector.ErrGateway, err)
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
		g.AvoidUntil(now.Add(avoidNonGateway))
	case reply.Failure == forwarder.Overloaded && reply.ExpectedWait > 0:
		c.b.ObserveWait(now, reply.ExpectedWait)
	}
	return nil, c.fail(errors.Join(exchanger.ErrNotSent, failureError(reply)))
}

// fail marks the connection as broken if the failed statement belongs to an open
// transaction.
func (c *Conn) fail(err error) error {
	c.broken = c.gateway != nil
	return err
}

// failureError returns the error of a request that a gateway did not run. All
// errors but those of the server itself wrap connector.ErrGateway.
func failureError(reply forwarder.Reply) error {
	text := errors.New("gateway: " + reply.Failure.String() + " " + reply.Text)
	switch reply.Failure {
	case forwarder.Overloaded:
		return errors.Join(connector.ErrGateway, connector.Overload{Wait: reply.ExpectedWait}, text)
	case forwarder.Silent:
		return errors.Join(connector.ErrGateway, connector.ErrSilent, text)
	case forwarder.Stalled:
		return errors.Join(connector.ErrGateway, connector.ErrStalled, text)
	case forwarder.Refused:
		return errors.Join(connector.ErrGateway, &exchanger.RefusedError{Code: reply.Code, Text: reply.Text})
	case forwarder.Unreachable:
		return text
	}
	return errors.Join(connector.ErrGateway, text)
}

// updateTransaction remembers the gateway while a transaction is open there.
func (c *Conn) updateTransaction(g *selector.Gateway, r forwarder.Request, answers []exchanger.Answer) {
	if r.Transaction == "" || len(answers) == 0 || answers[len(answers)-1].State == exchanger.Idle {
		c.gateway, c.transaction = nil, ""
		return
	}
	c.gateway, c.transaction = g, r.Transaction
}

// Release implements [connector.Conn]. A transaction that is still open at a gateway is
// rolled back there.
func (c *Conn) Release(isIdle bool) {
	c.b.AddInFlight(-1)
	if c.direct != nil {
		c.b.Pool.Release(c.direct, isIdle)
		return
	}
	if c.gateway != nil {
		c.discard(c.gateway, c.transaction)
	}
}

// discard rolls a transaction back that is open at the gateway.
func (c *Conn) discard(g *selector.Gateway, transaction string) {
	r := forwarder.Request{
		Service: c.b.Target().Service, Server: c.b.ID, Transaction: transaction, Discard: true, Timeout: discardTimeout,
	}
	go func() {
		pause := discardPause
		for attempt := 1; ; attempt++ {
			_, err := c.d.cfg.Forwarder.Forward(context.Background(), g.Peer().Address, r)
			if err == nil {
				return
			}
			if attempt == maxDiscards {
				c.d.cfg.Log.WithError(err).WithField("gateway", g.Peer().Name).Info("dispatcher: cannot end the transaction at the gateway, which rolls it back after its idle limit")
				return
			}
			c.d.cfg.Clock.Sleep(pause)
			pause *= 2
		}
	}()
}
