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
