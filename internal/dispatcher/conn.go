package dispatcher

import (
	"time"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
)

// conn carries statements to one backend server: a connection of this instance's,
// or one of a gateway's.
type conn interface {
	Run(deadline time.Time, c linker.Context, statements ...exchanger.Statement) ([]exchanger.Answer, error)
	RunPlain(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error)
	IsBroken() bool
}

// connRequest is what a request needs of the connections to a server.
type connRequest struct {
	priority int
	// waitDeadline is until when the request may wait for a connection.
	waitDeadline time.Time
	// due is when its caller has no more use for the answer.
	due time.Time
	// remaining is the time until its caller has no more use for the answer.
	remaining time.Duration
	// isWrite is set if it waits for an acknowledged commit.
	isWrite bool
	values  map[string]string
}

// newConnRequest returns what the request needs if its caller is ready to wait for some
// objectives.
func (d *Dispatcher) newConnRequest(req Request, objectives time.Duration) connRequest {
	allowed := objectives * req.Route.Objective
	due := req.Received.Add(allowed)
	return connRequest{
		priority: req.Route.Priority, waitDeadline: placer.WaitDeadline(req.Received, allowed),
		remaining: due.Sub(d.cfg.Clock.Now()), due: due, values: req.Context.Values,
	}
}

func (n connRequest) urgency() admitter.Urgency {
	return admitter.Urgency{Priority: n.priority, Due: n.due}
}

// acquire returns a link to the server, or why a request should not wait for one.
// Through a gateway the request waits there. Leave ends the request's turn at the
// server; the link may be kept longer.
func (d *Dispatcher) acquire(b *backend, n connRequest) (c conn, releaseSlot func(), err error) {
	if b.usesGateways() {
		return d.newForwardedConn(b, n), func() {}, nil
	}
	b.addInFlight(1)
	own, releaseSlot, err := b.acquire(d.cfg.Clock.Now(), n)
	if err != nil {
		b.addInFlight(-1)
		return nil, nil, err
	}
	return own, releaseSlot, nil
}

func (d *Dispatcher) newForwardedConn(b *backend, n connRequest) *forwardedConn {
	b.addInFlight(1)
	return &forwardedConn{d: d, b: b, req: n, createdAt: d.cfg.Clock.Now()}
}
