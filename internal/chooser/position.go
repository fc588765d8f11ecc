package chooser

import (
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/tracker"
)

// MinPosition returns the position that a bounded or session read must cover.
func (c *Chooser) MinPosition(req attempter.Request, deadline time.Time) (placer.Floor, error) {
	s, err := c.cfg.Groups.Group(req.Route.Service).AwaitRequiredPosition(req.Received.Add(-req.Route.MaxStaleness), deadline)
	if err != nil {
		return placer.Floor{}, err
	}
	pos := placer.Floor{Position: s.Position, AvailableAt: s.At}
	if req.Route.Reads == informer.SessionReads && req.MinPosition.Compare(pos.Position) > 0 {
		pos = placer.Floor{Position: req.MinPosition, AvailableAt: req.MinPositionAt}
	}
	return pos, nil
}

// RecordBehind records that a replica did not cover a read's minimum position.
func (c *Chooser) RecordBehind(req attempter.Request, b *connector.Backend, pos placer.Floor, has tracker.Position) {
	age := c.cfg.Clock.Since(pos.AvailableAt)
	b.RecordBehind(c.cfg.Clock.Now(), age)
	c.retries.Inc(1)
	c.cfg.Log.WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "server": b.ID, "reason": exchanger.Behind.String(),
		"floor": pos.Position.String(), "floor_age": age.String(), "server_has": has.String(),
	}).Info("dispatcher: attempt did not run; trying again")
}
