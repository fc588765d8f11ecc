package checker

import (
	"maps"
	"slices"

	"marigoldhub.example/hub/internal/tracker"
)

// Catalog is the merged, immutable content of all active parts. Lookups by name
// take constant time, because they are made for every connection and statement.
type Catalog struct {
	groups      []Group
	byName      map[string]Group
	byDatabase  map[string]Group
	callers     map[string]Caller
	teams       map[string]Team
	reads       map[string][]ReadRule
	drains      map[Drain]bool
	switchovers map[string][]Switchover
}

// NewCatalog returns a catalog of checked manifests. The manifests must not be
// changed afterwards.
func NewCatalog(manifests ...Manifest) *Catalog {
	c := &Catalog{
		byName:      map[string]Group{},
		byDatabase:  map[string]Group{},
		callers:     map[string]Caller{},
		teams:       map[string]Team{},
		reads:       map[string][]ReadRule{},
		drains:      map[Drain]bool{},
		switchovers: map[string][]Switchover{},
	}
	for _, m := range manifests {
		c.add(m)
	}
	return c
}

func (c *Catalog) add(m Manifest) {
	c.groups = append(c.groups, m.Groups...)
	for _, g := range m.Groups {
		c.byName[g.Name] = g
		c.byDatabase[g.Database] = g
	}
	for _, caller := range m.Callers {
		c.callers[caller.Name] = caller
	}
	for _, t := range m.Teams {
		c.teams[t.Name] = t
	}
	for _, r := range m.Reads {
		c.reads[r.Group] = append(c.reads[r.Group], r)
	}
	for _, d := range m.Drains {
		c.drains[d] = true
	}
	for _, s := range m.Switchovers {
		c.switchovers[s.Group] = append(c.switchovers[s.Group], s)
	}
}

// CatalogSource provides the catalog of the active parts.
type CatalogSource interface {
	// Catalog returns the newest catalog, never nil.
	Catalog() *Catalog
	// Changed returns a channel that is closed when Catalog next changes.
	Changed() <-chan struct{}
}

// Groups returns all database groups.
func (c *Catalog) Groups() []tracker.Group {
	groups := make([]tracker.Group, 0, len(c.groups))
	for _, g := range c.groups {
		groups = append(groups, g.TrackerGroup())
	}
	return groups
}

// Group returns the manifest entry of a group.
func (c *Catalog) Group(name string) (Group, bool) {
	g, ok := c.byName[name]
	return g, ok
}

// GroupOfDatabase returns the group that serves a database name.
func (c *Catalog) GroupOfDatabase(database string) (Group, bool) {
	g, ok := c.byDatabase[database]
	return g, ok
}

// Caller returns the manifest entry of a caller.
func (c *Catalog) Caller(name string) (Caller, bool) {
	caller, ok := c.callers[name]
	return caller, ok
}

// Team returns the manifest entry of a team.
func (c *Catalog) Team(name string) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Teams returns all teams, in order of their names.
func (c *Catalog) Teams() []Team {
	teams := make([]Team, 0, len(c.teams))
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		teams = append(teams, c.teams[name])
	}
	return teams
}

// Reads returns the read rules of a group.
func (c *Catalog) Reads(group string) []ReadRule { return slices.Clone(c.reads[group]) }

// IsDrained reports whether an active part has a drain of the server.
func (c *Catalog) IsDrained(group, server string) bool {
	return c.drains[Drain{Group: group, Server: server}]
}

// Switchovers returns the planned changes of primary of a group.
func (c *Catalog) Switchovers(group string) []Switchover { return slices.Clone(c.switchovers[group]) }

// TrackerGroup returns the group as package tracker describes it.
func (g Group) TrackerGroup() tracker.Group {
	servers := make([]tracker.Server, 0, len(g.Servers))
	for _, s := range g.Servers {
		servers = append(servers, tracker.Server(s))
	}
	return tracker.Group{Name: g.Name, Database: g.Database, Servers: servers}
}
