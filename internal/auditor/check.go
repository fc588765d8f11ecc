package auditor

import (
	"fmt"
	"maps"
	"slices"

	"marigoldhub.example/hub/internal/informer"
)

// Check returns what is wrong with a configuration that could be decoded.
func Check(c *informer.Configuration) []Finding {
	var fs findings
	for _, database := range slices.Sorted(maps.Keys(c.Routes)) {
		fs.checkRoute(c, c.Routes[database])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		fs.checkService(c, c.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		fs.checkTeam(c.Teams[name])
	}
	fs.checkTeams(c)
	fs.checkIdleTime(c)
	return Sort(fs)
}

// CheckCapacity returns what contradicts the number of operations that the servers of all
// services run in a second, which no configuration says.
func CheckCapacity(c *informer.Configuration, perSecond float64) []Finding {
	var fs findings
	sum := 0.0
	for _, t := range c.Teams {
		sum += t.RatePerSecond
	}
	if sum > perSecond {
		fs.warnf("teams", "the quotas add up to %g operations a second, of which the servers run %g: teams inside their quotas are refused", sum, perSecond)
	}
	return fs
}

func (fs *findings) checkIdleTime(c *informer.Configuration) {
	switch {
	case c.IdleInTransaction < 0:
		fs.errorf("limits", "the time for which a transaction may be idle is %s", c.IdleInTransaction)
	case c.IdleInTransaction == 0:
		fs.warnf("limits", "transactions may be idle for ever: each keeps a connection to a server meanwhile")
	}
}

// RouteEntry returns the name of a route's entry in findings and changes.
func RouteEntry(database string) string { return fmt.Sprintf("route of database %q", database) }

// ServiceEntry returns the name of a service's entry.
func ServiceEntry(name string) string { return fmt.Sprintf("service %q", name) }

// TeamEntry returns the name of a team's entry.
func TeamEntry(name string) string { return fmt.Sprintf("team %q", name) }

func (fs *findings) checkRoute(c *informer.Configuration, r informer.Route) {
	entry := RouteEntry(r.Database)
	if _, ok := c.Services[r.Service]; !ok {
		fs.errorf(entry, "service %q is not in the configuration", r.Service)
	}
	switch {
	case r.StatementTimeout <= 0:
		fs.errorf(entry, "statements have no time: the time limit is %s", r.StatementTimeout)
	case r.Objective <= 0:
		fs.errorf(entry, "the latency objective is %s", r.Objective)
	case r.Objective > r.StatementTimeout:
		fs.warnf(entry, "the latency objective of %s is above the time limit of %s: a statement ends before it", r.Objective, r.StatementTimeout)
	}
	switch {
	case r.MaxStaleness < 0:
		fs.errorf(entry, "the staleness bound is %s", r.MaxStaleness)
	case r.Reads == informer.BoundedReads && r.MaxStaleness == 0:
		fs.warnf(entry, "reads may be stale, but by 0 s only: a replica can hardly serve them")
	case r.Reads == informer.PrimaryReads && r.MaxStaleness > 0:
		fs.warnf(entry, "the staleness bound of %s has no effect: reads are strict", r.MaxStaleness)
	}
	if r.Priority < 0 {
		fs.errorf(entry, "priority %d is below 0, which is served first", r.Priority)
	}
}

func (fs *findings) checkService(c *informer.Configuration, s informer.Service) {
	entry := ServiceEntry(s.Name)
	isUsed := isRouted(s.Name, c.Routes)
	if !isUsed {
		fs.warnf(entry, "no route leads to it")
	}
	switch {
	case s.MaxConnections < 0:
		fs.errorf(entry, "the connection limit is %d", s.MaxConnections)
	case s.SyncReplicas < 0:
		fs.errorf(entry, "commits wait for %d replicas", s.SyncReplicas)
	case s.SyncReplicas == 0:
		fs.warnf(entry, "commits wait for no replica: a failure of the primary loses them")
	}
	if n := len(c.Teams); isUsed && s.MaxConnections > 0 && n > s.MaxConnections {
		fs.warnf(entry, "%d teams share %d connections, each of which serves one team: statements wait for connections to be replaced", n, s.MaxConnections)
	}
}

func (fs *findings) checkTeam(t informer.Team) {
	entry := TeamEntry(t.Name)
	if len(t.Keys) == 0 {
		fs.warnf(entry, "has no key: nobody can connect as a member")
	}
	switch {
	case t.RatePerSecond < 0 || t.Burst < 0:
		fs.errorf(entry, "the quota is %g a second with a burst of %g", t.RatePerSecond, t.Burst)
	case t.RatePerSecond == 0 && t.Burst > 0:
		fs.warnf(entry, "the burst of %g has no effect: there is no rate limit", t.Burst)
	case t.RatePerSecond > 0 && t.RatePerSecond+t.Burst < 1:
		fs.warnf(entry, "the quota of %g a second with a burst of %g admits less than one operation a second", t.RatePerSecond, t.Burst)
	}
	if t.Priority < 0 {
		fs.errorf(entry, "priority %d is below 0, which is served first", t.Priority)
	}
}

// checkTeams checks the teams against each other and the routes.
func (fs *findings) checkTeams(c *informer.Configuration) {
	holders := map[informer.KeyDigest]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		for _, key := range c.Teams[name].Keys {
			if holder, held := holders[key]; held {
				fs.errorf(TeamEntry(name), "key %s is held by team %q as well, or twice", key.Fingerprint(), holder)
			}
			holders[key] = name
		}
	}
	private, public := 0, 0
	for _, r := range c.Routes {
		if r.Public {
			public++
		} else {
			private++
		}
	}
	switch {
	case c.HasTeams() && len(holders) == 0 && private > 0:
		fs.errorf("teams", "no team has a key: %d routes that need one admit nobody", private)
	case c.HasTeams() && private == 0 && public > 0:
		fs.warnf("teams", "all routes are public: no caller needs a key")
	case !c.HasTeams() && public > 0:
		fs.warnf("routes", "%d are marked public, which has no effect: there are no teams, and no caller needs a key", public)
	}
}
