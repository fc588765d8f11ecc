package chooser

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

// Choice is the server that is chosen for a read.
type Choice struct {
	placer.Candidate
	// Backend is nil if no server is left.
	Backend *connector.Backend
	// SpillWait is how long the read should wait there; 0 means no limit but that of its
	// objective.
	SpillWait time.Duration
}

// Choose returns the best server for the read among those that were not tried. If
// mayProbe is set, it may be a server that gets no reads otherwise.
func (c *Chooser) Choose(req attempter.Request, pos placer.Floor, tried map[string]bool, mayProbe bool) Choice {
	now := c.cfg.Clock.Now()
	leader := ""
	if l, ok := c.cfg.Groups.Group(req.Route.Service).Leader(); ok {
		leader = l.Server.ID
	}
	var backends []*connector.Backend
	var candidates []placer.Candidate
	isPassedOver := false
	for _, b := range c.cfg.Backends.BackendsOf(req.Route.Service, now) {
		if !tried[b.ID] {
			backends = append(backends, b)
			place := b.Candidate(now, c.cfg.Zone, leader, now.Sub(pos.AvailableAt))
			place.Wait, place.OtherZoneCost = cmp.Or(c.reportedWait(b.ID), place.Wait), cmp.Or(c.cfg.OtherZoneCost, placer.DefaultOtherZoneCost)
			if p, ok := c.cfg.Inspector.Progress(b, now); ok && !place.Primary {
				place.Lacks = p.Lacks(pos, now)
			}
			if place.Lacks {
				b.RecordPassedOver(now)
			}
			place.SetAside = c.cfg.Appraiser.IsAside(req.Route.Service, b.ID)
			isPassedOver = isPassedOver || place.Lacks
			candidates = append(candidates, place)
		}
	}
	if isPassedOver && len(tried) == 0 {
		c.readsPassedOver.Inc(1)
	}
	candidates = placer.Relieve(candidates, req.Route.Objective, rand.Float64())
	i := placer.ChooseRead(candidates, req.Route.Objective, rand.Float64())
	if i < 0 {
		return Choice{}
	}
	if j := placer.ProbeTarget(candidates, i); mayProbe && j >= 0 && c.cfg.Appraiser.TakeProbe(req.Route.Service, backends[j].ID) {
		c.probeReads.Inc(1)
		i = j
	}
	return Choice{candidates[i], backends[i], placer.SpillWait(candidates, i, req.Route.Objective)}
}

// LeavesZone reports whether a read at the server leaves this instance's zone although a
// replica of the service is in it.
func (c *Chooser) LeavesZone(service string, b *connector.Backend) bool {
	if b.Zone() == c.cfg.Zone {
		return false
	}
	l, _ := c.cfg.Groups.Group(service).Leader()
	return slices.ContainsFunc(c.cfg.Informer.State().ServersOf(service), func(srv informer.Server) bool {
		return srv.Zone == c.cfg.Zone && srv.ID != l.Server.ID
	})
}

// reportedWait returns the wait at the server that its gateway reports.
func (c *Chooser) reportedWait(server string) time.Duration {
	if c.cfg.WaitAt == nil {
		return 0
	}
	return c.cfg.WaitAt(server)
}
