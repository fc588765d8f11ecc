package dispatcher

import (
	"time"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
)

// link carries statements to one backend server: a connection of this instance's,
// or one of a gateway's.
type link interface {
	Run(deadline time.Time, c linker.Context, statements ...exchanger.Statement) ([]exchanger.Answer, error)
	RunPlain(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error)
	IsBroken() bool
}

// need is what a request needs of the connections to a server.
type need struct {
	priority int
	// wait is until when the request may wait for a connection.
	wait time.Time
	// due is when its caller has no more use for the answer.
	due time.Time
	// left is the time until its caller has no more use for the answer.
	left time.Duration
	// isWrite is set if it waits for an acknowledged commit.
	isWrite bool
	values  map[string]string
}

// need returns what the request needs if its caller is ready to wait for some
// objectives.
func (d *Dispatcher) need(req Request, objectives time.Duration) need {
	patience := objectives * req.Route.Objective
	due := req.Received.Add(patience)
	return need{
		priority: req.Route.Priority, wait: placer.WaitLimit(req.Received, patience),
		left: due.Sub(d.cfg.Clock.Now()), due: due, values: req.Context.Values,
	}
}

func (n need) urgency() admitter.Urgency { return admitter.Urgency{Priority: n.priority, Due: n.due} }

// link returns a link to the server, or why a request should not wait for one.
// Through a gateway the request waits there. Leave ends the request's turn at the
// server; the link may be kept longer.
func (d *Dispatcher) link(b *backend, n need) (l link, leave func(), err error) {
	if b.usesGateways() {
		return d.forwardedLink(b, n), func() {}, nil
	}
	b.count(1)
	own, leave, err := b.enter(d.cfg.Clock.Now(), n)
	if err != nil {
		b.count(-1)
		return nil, nil, err
	}
	return own, leave, nil
}

func (d *Dispatcher) forwardedLink(b *backend, n need) *forwardedLink {
	b.count(1)
	return &forwardedLink{d: d, b: b, need: n, asked: d.cfg.Clock.Now()}
}
