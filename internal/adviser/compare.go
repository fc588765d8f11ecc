package adviser

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/checker"
)

// Change is one thing in which two states of a part differ.
type Change struct {
	// Entry names the entry, such as `team "kiosks"`.
	Entry string `json:"entry"`
	Text  string `json:"text"`
}

// String returns the change as a line for operators.
func (c Change) String() string { return c.Entry + ": " + c.Text }

// Compare returns the differences between two states of a part: its groups with their servers,
// then read rules, callers, teams, drains and switchovers.
func Compare(before, after checker.Manifest) []Change {
	var d differ
	compareLists(&d, before.Groups, after.Groups, func(g checker.Group) string { return fmt.Sprintf("group %q", g.Name) }, d.compareGroups)
	compareLists(&d, before.Reads, after.Reads, func(r checker.ReadRule) string { return fmt.Sprintf("read rule %q", r.Name) }, d.compareReads)
	compareLists(&d, before.Callers, after.Callers, func(c checker.Caller) string { return fmt.Sprintf("caller %q", c.Name) }, d.compareCallers)
	for _, c := range checker.DiffTeams(before.Teams, after.Teams) {
		d.add(fmt.Sprintf("team %q", c.Team), "%s", c.Text)
	}
	compareLists(&d, before.Drains, after.Drains, func(s checker.Drain) string { return fmt.Sprintf("drain of server %q in group %q", s.Server, s.Group) }, nil)
	compareLists(&d, before.Switchovers, after.Switchovers, func(s checker.Switchover) string { return fmt.Sprintf("switchover %q", s.ID) }, d.compareSwitchovers)
	return d.changes
}

// differ collects the differences.
type differ struct{ changes []Change }

func (d *differ) add(entry, format string, args ...any) {
	d.changes = append(d.changes, Change{Entry: entry, Text: fmt.Sprintf(format, args...)})
}

// compareLists compares two lists whose elements have distinct names: first the elements
// of before in their order, then those that are new. compare may be nil.
func compareLists[V any](d *differ, before, after []V, name func(V) string, compare func(entry string, before, after V)) {
	for _, b := range before {
		i := slices.IndexFunc(after, func(a V) bool { return name(a) == name(b) })
		switch {
		case i < 0:
			d.add(name(b), "removed")
		case compare != nil:
			compare(name(b), b, after[i])
		}
	}
	for _, a := range after {
		if !slices.ContainsFunc(before, func(b V) bool { return name(b) == name(a) }) {
			d.add(name(a), "added")
		}
	}
}

func (d *differ) compareGroups(entry string, before, after checker.Group) {
	text(d, entry, "database", before.Database, after.Database)
	text(d, entry, "user at the servers", before.ServerUser, after.ServerUser)
	text(d, entry, "password file", before.ServerPasswordFile, after.ServerPasswordFile)
	text(d, entry, "TLS to the servers", cmp.Or(before.ServerTLS, checker.ServerTLSDisable), cmp.Or(after.ServerTLS, checker.ServerTLSDisable))
	server := func(s checker.Server) string { return fmt.Sprintf("%s, server %q", entry, s.Name) }
	compareLists(d, before.Servers, after.Servers, server, func(entry string, before, after checker.Server) {
		text(d, entry, "address", before.Address, after.Address)
		text(d, entry, "availability zone", before.Zone, after.Zone)
		number(d, entry, "connection limit", before.ConnectionLimit, after.ConnectionLimit)
	})
}

func (d *differ) compareReads(entry string, before, after checker.ReadRule) {
	text(d, entry, "group", before.Group, after.Group)
	d.list(entry, "tables", before.Tables, after.Tables)
	switch b, a := time.Duration(before.MaxAge), time.Duration(after.MaxAge); {
	case a > b:
		d.add(entry, "maximum age raised from %s to %s", b, a)
	case a < b:
		d.add(entry, "maximum age lowered from %s to %s", b, a)
	}
}

func (d *differ) compareCallers(entry string, before, after checker.Caller) {
	d.list(entry, "groups", before.Groups, after.Groups)
	if before.ScramVerifier != after.ScramVerifier {
		d.add(entry, "password changed")
	}
	number(d, entry, "connection limit", before.ConnectionLimit, after.ConnectionLimit)
	number(d, entry, "pinned limit", before.PinnedLimit, after.PinnedLimit)
	switch {
	case !before.TLSRequired && after.TLSRequired:
		d.add(entry, "TLS is now required")
	case before.TLSRequired && !after.TLSRequired:
		d.add(entry, "TLS is no longer required")
	}
}

func (d *differ) compareSwitchovers(entry string, before, after checker.Switchover) {
	if before != after {
		d.add(entry, "changes from server %q of group %q to server %q of group %q; it does not run again if it has run", before.To, before.Group, after.To, after.Group)
	}
}

// list says which elements a list gains and loses.
func (d *differ) list(entry, what string, before, after []string) {
	if gained := missing(after, before); len(gained) > 0 {
		d.add(entry, "%s added: %s", what, strings.Join(gained, ", "))
	}
	if lost := missing(before, after); len(lost) > 0 {
		d.add(entry, "%s removed: %s", what, strings.Join(lost, ", "))
	}
}

// missing returns the elements of list that others lacks.
func missing(list, others []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(others, s) })
}

func text(d *differ, entry, what, before, after string) {
	if before != after {
		d.add(entry, "%s changes from %q to %q", what, before, after)
	}
}

func number(d *differ, entry, what string, before, after int) {
	switch {
	case before < after:
		d.add(entry, "%s raised from %d to %d", what, before, after)
	case before > after:
		d.add(entry, "%s lowered from %d to %d", what, before, after)
	}
}
