package dispatcher

import (
	"errors"
	"time"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/observer"
)

// refuseRead refuses a read that no server could run. The text says when to come back if
// a replica will have the position that the read requires, or the queue of a server, whose
// wait is given, will be short enough; a wait of 0 means that no queue was too long.
func (d *Dispatcher) refuseRead(req Request, pos minPosition, reason string, err error, wait time.Duration) exchanger.Answer {
	now := d.cfg.Clock.Now()
	var estimates []time.Duration
	if wait > 0 {
		estimates = append(estimates, wait-req.Route.Objective/2)
	}
	if errors.Is(err, attempter.ErrNoRetries) && wait == 0 {
		estimates = append(estimates, observer.AvoidAfterRefusal)
	}
	for _, b := range d.backends.BackendsOf(req.Route.Service, now) {
		if p, ok := d.inspector.Progress(b, now); ok && p.Lacks(pos.floor(), now) {
			estimates = append(estimates, p.CoversAt(pos.floor()).Sub(now))
		}
	}
	return d.attempts.RefuseWithTime(req, reason, err, d.backends.BackendsOf(req.Route.Service, now), estimates...)
}
