package dispatcher

import (
	"time"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
)

// conn is a connection to one backend server: one of this instance, or one through
// a gateway.
type conn interface {
	// Run runs statements in the context and returns their answers.
	Run(deadline time.Time, c linker.Context, statements ...exchanger.Statement) ([]exchanger.Answer, error)
	// RunPlain runs statements of the instance itself, which need no context.
	RunPlain(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error)
	// IsBroken reports whether the connection has failed.
	IsBroken() bool
}

// connRequest describes a request for a connection to a server.
type connRequest struct {
	// team is the team whose statements will run on the connection; empty without teams.
	team string
	// isOwn is set for statements of the instance itself, which run on a connection of
	// any team.
	isOwn    bool
	priority int
	// waitDeadline is until when the request may wait for a connection.
	waitDeadline time.Time
	// due is when the caller has no more use for the answer.
	due time.Time
	// remaining is the time until due.
	remaining time.Duration
	// isWrite is set if the request waits for an acknowledged commit.
	isWrite bool
	// left is closed when the caller has left; nil if that is not noticed.
	left <-chan struct{}
	// values are the caller's session values.
	values map[string]string
}

// newConnRequest returns the connection request of a statement whose answer is of
// use for the given number of objectives.
func (d *Dispatcher) newConnRequest(req Request, objectives time.Duration) connRequest {
	allowed := objectives * req.Route.Objective
	due := req.Received.Add(allowed)
	return connRequest{
		team: req.Team, priority: req.Route.Priority, waitDeadline: placer.WaitDeadline(req.Received, allowed),
		remaining: due.Sub(d.cfg.Clock.Now()), due: due, left: req.Left, values: req.Context.Values,
	}
}

// linkerRequest returns the request for a connection of this instance's pool.
func (cr connRequest) linkerRequest() linker.Request {
	return linker.Request{Priority: cr.priority, Deadline: cr.waitDeadline, User: cr.team, AnyUser: cr.isOwn, Left: cr.left, Values: cr.values}
}

func (cr connRequest) urgency() admitter.Urgency {
	return admitter.Urgency{Priority: cr.priority, Team: cr.team, Due: cr.due, Left: cr.left}
}

// hasLeft reports whether the caller has left.
func (cr connRequest) hasLeft() bool { return hasLeft(cr.left) }

// acquire returns a connection to the server, or why a request should not wait for
// one. With gateways it returns at once, and the request waits at the gateway. The
// function releaseSlot frees the slot at the server; the connection may be kept
// longer.
func (d *Dispatcher) acquire(b *backend, cr connRequest) (c conn, releaseSlot func(), err error) {
	if b.usesGateways() {
		return d.newForwardedConn(b, cr), func() {}, nil
	}
	b.addInFlight(1)
	own, releaseSlot, err := b.acquire(d.cfg.Clock.Now(), cr)
	if err != nil {
		b.addInFlight(-1)
		return nil, nil, err
	}
	return own, releaseSlot, nil
}

func (d *Dispatcher) newForwardedConn(b *backend, cr connRequest) *forwardedConn {
	b.addInFlight(1)
	return &forwardedConn{d: d, b: b, req: cr, createdAt: d.cfg.Clock.Now()}
}
