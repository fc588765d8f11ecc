package chooser

import (
	"errors"
	"time"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/observer"
	"marigoldhub.example/hub/internal/placer"
)

// RefuseRead refuses a read that no server could run; err is why, if that is known. The
// text says when to come back if a replica will have the position that the read requires, or
// the queue of a server, whose wait is given, will be short enough; a wait of 0 means that no
// queue was too long. Allowed is how long the read may wait at a server.
func (c *Chooser) RefuseRead(req attempter.Request, pos placer.Floor, reason string, err error, wait, allowed time.Duration) exchanger.Answer {
	now := c.cfg.Clock.Now()
	var estimates []time.Duration
	if wait > 0 {
		estimates = append(estimates, wait-allowed)
	}
	if errors.Is(err, attempter.ErrNoRetries) && wait == 0 {
		estimates = append(estimates, observer.AvoidAfterRefusal)
	}
	for _, b := range c.cfg.Backends.BackendsOf(req.Route.Service, now) {
		if p, ok := c.cfg.Inspector.Progress(b, now); ok && p.Lacks(pos, now) {
			estimates = append(estimates, p.CoversAt(pos).Sub(now))
		}
	}
	return c.cfg.Attempter.RefuseWithTime(req, reason, err, c.cfg.Backends.BackendsOf(req.Route.Service, now), estimates...)
}
