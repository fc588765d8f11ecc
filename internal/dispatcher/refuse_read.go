package dispatcher

import (
	"math/rand/v2"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/placer"
)

// refuseRead refuses a read that no server could run. The text says when to come back if
// a replica will have the position that the read requires, or the queue of a server, whose
// wait is given, will be short enough; a wait of 0 means that no queue was too long.
func (d *Dispatcher) refuseRead(req Request, pos minPosition, reason string, wait time.Duration) exchanger.Answer {
	now := d.cfg.Clock.Now()
	var estimates []time.Duration
	if wait > 0 {
		estimates = append(estimates, wait-req.Route.Objective/2)
	}
	for _, b := range d.backends.BackendsOf(req.Route.Service, now) {
		if p, ok := d.inspector.Progress(b, now); ok && p.Lacks(pos.floor(), now) {
			estimates = append(estimates, p.CoversAt(pos.floor()).Sub(now))
		}
	}
	if len(estimates) == 0 {
		return d.refuse(req, exchanger.Busy, reason, nil)
	}
	d.count.refusalsWithTime.Inc(1)
	return d.refuseUntil(req, reason, placer.RetryDelay(estimates, rand.Float64()))
}
