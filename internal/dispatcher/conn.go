package dispatcher

import (
	"time"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/placer"
)

// newConnRequest returns the connection request of a statement whose answer is of
// use for the given number of objectives.
func (d *Dispatcher) newConnRequest(req Request, objectives time.Duration) connector.Request {
	allowed := objectives * req.Route.Objective
	due := req.Received.Add(allowed)
	return connector.Request{
		Team: req.Team, Priority: req.Route.Priority, WaitDeadline: placer.WaitDeadline(req.Received, allowed),
		Remaining: due.Sub(d.cfg.Clock.Now()), Due: due, Left: req.Left, Values: req.Context.Values,
	}
}

// acquire returns a connection to the server, or why a request should not wait for
// one. With gateways it returns at once, and the request waits at the gateway. The
// function releaseSlot frees the slot at the server; the connection may be kept
// longer.
func (d *Dispatcher) acquire(b *connector.Backend, cr connector.Request) (c connector.Conn, releaseSlot func(), err error) {
	if b.UsesGateways() {
		return d.newForwardedConn(b, cr), func() {}, nil
	}
	own, releaseSlot, err := b.Open(d.cfg.Clock.Now(), cr)
	if err != nil {
		return nil, nil, err
	}
	return own, releaseSlot, nil
}

func (d *Dispatcher) newForwardedConn(b *connector.Backend, cr connector.Request) *forwardedConn {
	b.AddInFlight(1)
	return &forwardedConn{d: d, b: b, req: cr, createdAt: d.cfg.Clock.Now()}
}
