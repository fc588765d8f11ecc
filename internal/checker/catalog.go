package checker

import (
	"slices"

	"marigoldhub.example/hub/internal/tracker"
)

// Catalog is the merged, immutable content of all parts in force.
type Catalog struct {
	manifests []Manifest
}

// NewCatalog returns a catalog of checked manifests. The manifests must not be
// changed afterwards.
func NewCatalog(manifests ...Manifest) *Catalog {
	return &Catalog{manifests: slices.Clone(manifests)}
}

// CatalogSource gives the catalog in force.
type CatalogSource interface {
	// Catalog returns the newest catalog, never nil.
	Catalog() *Catalog
	// Changed returns a channel that is closed when Catalog next changes.
	Changed() <-chan struct{}
}

// Groups returns all database groups.
func (c *Catalog) Groups() []tracker.Group {
	var groups []tracker.Group
	for _, m := range c.manifests {
		for _, g := range m.Groups {
			groups = append(groups, g.Tracked())
		}
	}
	return groups
}

// Group returns the manifest entry of a group.
func (c *Catalog) Group(name string) (Group, bool) {
	return c.findGroup(func(g Group) bool { return g.Name == name })
}

// GroupOfDatabase returns the group that serves a database name.
func (c *Catalog) GroupOfDatabase(database string) (Group, bool) {
	return c.findGroup(func(g Group) bool { return g.Database == database })
}

func (c *Catalog) findGroup(match func(Group) bool) (Group, bool) {
	for _, m := range c.manifests {
		if i := slices.IndexFunc(m.Groups, match); i >= 0 {
			return m.Groups[i], true
		}
	}
	return Group{}, false
}

// Caller returns the manifest entry of a caller.
func (c *Catalog) Caller(name string) (Caller, bool) {
	for _, m := range c.manifests {
		for _, caller := range m.Callers {
			if caller.Name == name {
				return caller, true
			}
		}
	}
	return Caller{}, false
}

// Reads returns the read rules of a group.
func (c *Catalog) Reads(group string) []ReadRule {
	var rules []ReadRule
	for _, m := range c.manifests {
		for _, r := range m.Reads {
			if r.Group == group {
				rules = append(rules, r)
			}
		}
	}
	return rules
}

// IsDrained reports whether a drain of the server is in force.
func (c *Catalog) IsDrained(group, server string) bool {
	for _, m := range c.manifests {
		if slices.Contains(m.Drains, Drain{Group: group, Server: server}) {
			return true
		}
	}
	return false
}

// Switchovers returns the planned changes of primary of a group.
func (c *Catalog) Switchovers(group string) []Switchover {
	var plans []Switchover
	for _, m := range c.manifests {
		for _, s := range m.Switchovers {
			if s.Group == group {
				plans = append(plans, s)
			}
		}
	}
	return plans
}

// Tracked returns the group in the form that package tracker uses.
func (g Group) Tracked() tracker.Group {
	servers := make([]tracker.Server, 0, len(g.Servers))
	for _, s := range g.Servers {
		servers = append(servers, tracker.Server(s))
	}
	return tracker.Group{Name: g.Name, Database: g.Database, Servers: servers}
}
