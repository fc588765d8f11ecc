package adviser

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/pooler"
)

// Advise returns the advice about a manifest part that passes the checks, sorted by
// position.
func Advise(file string, data []byte) checker.Findings {
	m, r := checker.DecodeWithReport[checker.Manifest](file, data)
	a := adviser{Report: r, manifest: m}
	a.adviseGroups()
	a.adviseReads()
	a.adviseCallers()
	a.adviseTeams()
	a.adviseDrains()
	return r.Findings()
}

// AdviseCapacity returns the advice about the sum of the parts' quotas, if the servers of
// all groups run perSecond operations in a second, which no part says.
func AdviseCapacity(parts []checker.Document, perSecond float64) checker.Findings {
	sum := 0.0
	var largest checker.Document
	most := 0.0
	for _, d := range parts {
		quotas := 0.0
		for _, t := range d.Teams {
			quotas += t.RatePerSecond
		}
		if sum += quotas; quotas > most {
			most, largest = quotas, d
		}
	}
	if sum <= perSecond {
		return nil
	}
	_, r := checker.DecodeWithReport[checker.Manifest](largest.File, largest.Data)
	r.Add("team", "the quotas add up to %g operations a second, of which the servers run %g: teams inside their quotas are refused", sum, perSecond)
	return r.Findings()
}

// adviser adds advice about the content of a manifest.
type adviser struct {
	*checker.Report
	manifest checker.Manifest
}

func (a *adviser) adviseGroups() {
	for i, g := range a.manifest.Groups {
		key := fmt.Sprintf("group[%d]", i)
		if !a.isUsed(g.Name) {
			a.Add(key, "no caller and no team may use group %q", g.Name)
		}
		if len(g.Servers) == 1 {
			continue
		}
		zone := g.Servers[0].Zone
		if !slices.ContainsFunc(g.Servers, func(s checker.Server) bool { return s.Zone != zone }) {
			a.Add(key, "all servers of group %q are in availability zone %q: its failure stops the group", g.Name, zone)
		}
		lowest, highest := connectionLimits(g)
		if lowest < highest {
			a.Add(key, "the connection limits of the servers of group %q range from %d to %d: a change of primary changes how many connections the group may have", g.Name, lowest, highest)
		}
	}
}

// isUsed reports whether a caller or a team may use the group.
func (a *adviser) isUsed(group string) bool {
	return slices.ContainsFunc(a.manifest.Callers, func(c checker.Caller) bool { return slices.Contains(c.Groups, group) }) ||
		slices.ContainsFunc(a.manifest.Teams, func(t checker.Team) bool { return t.MayUse(group) })
}

// connectionLimits returns the lowest and the highest limit of the group's servers.
func connectionLimits(g checker.Group) (lowest, highest int) {
	lowest, highest = g.Servers[0].ConnectionLimit, g.Servers[0].ConnectionLimit
	for _, s := range g.Servers {
		lowest, highest = min(lowest, s.ConnectionLimit), max(highest, s.ConnectionLimit)
	}
	return lowest, highest
}

// adviseReads looks for rules without effect. Of several rules for a table the one with the
// lowest age applies.
func (a *adviser) adviseReads() {
	for i, r := range a.manifest.Reads {
		key := fmt.Sprintf("read[%d]", i)
		if g, ok := a.group(r.Group); ok && len(g.Servers) == 1 {
			a.Add(key, "has no effect: group %q has no replica", r.Group)
			continue
		}
		var hiding []string
		for _, table := range r.Tables {
			if other, ok := a.lowerRule(i, table); ok {
				hiding = append(hiding, fmt.Sprintf("%q for table %q", other.Name, table))
			}
		}
		if len(r.Tables) > 0 && len(hiding) == len(r.Tables) {
			a.Add(key, "never applies: other rules with the same or a lower maximum age apply first (%s)", strings.Join(hiding, ", "))
		}
	}
}

// lowerRule returns a rule of the same group that holds for the table in place of rule i:
// one with a lower age, or an earlier one with the same age.
func (a *adviser) lowerRule(i int, table string) (checker.ReadRule, bool) {
	rule := a.manifest.Reads[i]
	for k, other := range a.manifest.Reads {
		if k == i || other.Group != rule.Group || other.MaxAge > rule.MaxAge || other.MaxAge == rule.MaxAge && k > i {
			continue
		}
		if slices.ContainsFunc(other.Tables, func(t string) bool { return tableName(t) == tableName(table) }) {
			return other, true
		}
	}
	return checker.ReadRule{}, false
}

// tableName returns a table's name as rules are compared with statements: without the
// default schema.
func tableName(table string) string { return strings.TrimPrefix(table, "public.") }

func (a *adviser) adviseCallers() {
	for i, c := range a.manifest.Callers {
		a.advisePinned(fmt.Sprintf("caller[%d]", i), c)
	}
}

// advisePinned compares the server connections that a caller may pin at one instance with
// those that all instances together may open to the primaries of its groups, if in each
// group the server with the highest limit leads.
func (a *adviser) advisePinned(key string, c checker.Caller) {
	usable := 0
	for _, name := range c.Groups {
		if g, ok := a.group(name); ok {
			_, highest := connectionLimits(g)
			usable += highest - pooler.ReservedConnections
		}
	}
	if c.PinnedLimit > usable {
		a.Add(key+".pinned_limit", "%d cannot be reached: all instances together open at most %d connections to the primaries of its groups", c.PinnedLimit, usable)
	}
}

func (a *adviser) adviseTeams() {
	for i, t := range a.manifest.Teams {
		key := fmt.Sprintf("team[%d]", i)
		if len(t.Keys) == 0 {
			a.Add(key+".keys", "team %q has no key: nobody can connect as a member", t.Name)
		}
		if t.RatePerSecond > 0 && t.RatePerSecond+t.Burst < 1 {
			each := time.Duration(float64(time.Second) / t.RatePerSecond)
			a.Add(key+".rate_per_second", "the quota admits only one operation every %s", each.Round(time.Second/10))
		}
		a.advisePinned(key, t.Caller())
	}
}

// adviseDrains looks for groups in which drains leave only one server for new work: it
// has no replica that a change of primary could choose.
func (a *adviser) adviseDrains() {
	drained := map[string]int{}
	for i, d := range a.manifest.Drains {
		drained[d.Group]++
		if g, ok := a.group(d.Group); ok && len(g.Servers) > 1 && drained[d.Group] == len(g.Servers)-1 {
			a.Add(fmt.Sprintf("drain[%d]", i), "leaves one server of group %q for new work", d.Group)
		}
	}
}

func (a *adviser) group(name string) (checker.Group, bool) {
	i := slices.IndexFunc(a.manifest.Groups, func(g checker.Group) bool { return g.Name == name })
	if i < 0 {
		return checker.Group{}, false
	}
	return a.manifest.Groups[i], true
}
