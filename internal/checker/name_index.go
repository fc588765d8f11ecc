package checker

import (
	"fmt"
	"maps"
)

// BuildCatalog merges the parts in the given order. A part that uses a group,
// database or caller name of an earlier part is left out of the catalog, with a
// finding for each name conflict.
func BuildCatalog(parts ...Document) (*Catalog, Findings) {
	var accepted []Manifest
	var findings Findings
	names := NewNameIndex()
	seen := map[string]bool{}
	for _, d := range parts {
		conflicts := names.CheckConflicts(d)
		if seen[d.Part] {
			r := newReport(d.File, d.Data)
			r.Add("part", "part %q appears twice", d.Part)
			conflicts = conflicts.Merge(r.Findings())
		}
		seen[d.Part] = true
		if len(conflicts) > 0 {
			findings = findings.Merge(conflicts)
			continue
		}
		names.SetPart(d.Manifest)
		accepted = append(accepted, d.Manifest)
	}
	return NewCatalog(accepted...), findings
}

// NameIndex tells which part uses a name that must be unique over all parts:
// the names of groups, databases, callers and teams, and the keys of teams.
type NameIndex struct{ parts map[nameUse]string }

// NewNameIndex returns an empty index.
func NewNameIndex() *NameIndex { return &NameIndex{parts: map[nameUse]string{}} }

// SetPart replaces the names of the manifest's part.
func (n *NameIndex) SetPart(m Manifest) {
	maps.DeleteFunc(n.parts, func(_ nameUse, part string) bool { return part == m.Part })
	for use := range namesOf(m) {
		n.parts[use] = m.Part
	}
}

// CheckConflicts returns a finding for each name that another part uses.
func (n *NameIndex) CheckConflicts(d Document) Findings {
	var r *Report
	for use, key := range namesOf(d.Manifest) {
		owner, taken := n.parts[use]
		if !taken || owner == d.Part {
			continue
		}
		if r == nil {
			r = newReport(d.File, d.Data)
		}
		r.Add(key, "%s %q belongs to part %q", use.kind, use.name, owner)
	}
	if r == nil {
		return nil
	}
	return r.Findings()
}

// nameUse is a name that must be unique over all parts.
type nameUse struct {
	kind string
	name string
}

// namesOf returns the key of each name that must be unique over all parts.
func namesOf(m Manifest) map[nameUse]string {
	uses := make(map[nameUse]string, 2*len(m.Groups)+len(m.Callers)+2*len(m.Teams))
	for i, g := range m.Groups {
		uses[nameUse{"group", g.Name}] = fmt.Sprintf("group[%d].name", i)
		uses[nameUse{"database", g.Database}] = fmt.Sprintf("group[%d].database", i)
	}
	for i, c := range m.Callers {
		uses[nameUse{"caller", c.Name}] = fmt.Sprintf("caller[%d].name", i)
	}
	for i, t := range m.Teams {
		uses[nameUse{"team", t.Name}] = fmt.Sprintf("team[%d].name", i)
		for k, digest := range t.Keys {
			uses[nameUse{"key", digest}] = fmt.Sprintf("team[%d].keys[%d]", i, k)
		}
	}
	return uses
}
