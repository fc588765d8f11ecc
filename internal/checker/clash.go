package checker

import (
	"fmt"
	"maps"
)

// CheckCatalog merges parts in the order in which they came. A part that uses
// a group, database or caller name of an earlier part stays out of the
// catalog, with a finding for each clash.
func CheckCatalog(parts ...Document) (*Catalog, Findings) {
	var accepted []Manifest
	var findings Findings
	names := NewNames()
	seen := map[string]bool{}
	for _, d := range parts {
		clashes := names.Check(d)
		if seen[d.Part] {
			r := newReport(d.File, d.Data)
			r.Add("part", "part %q appears twice", d.Part)
			clashes = clashes.Merge(r.Findings())
		}
		seen[d.Part] = true
		if len(clashes) > 0 {
			findings = findings.Merge(clashes)
			continue
		}
		names.Set(d.Manifest)
		accepted = append(accepted, d.Manifest)
	}
	return NewCatalog(accepted...), findings
}

// Names tells which part uses a name that must be unique over all parts.
type Names struct{ owners map[nameUse]string }

// NewNames returns an empty index.
func NewNames() *Names { return &Names{owners: map[nameUse]string{}} }

// Set replaces the names of the manifest's part.
func (n *Names) Set(m Manifest) {
	maps.DeleteFunc(n.owners, func(_ nameUse, part string) bool { return part == m.Part })
	for use := range namesOf(m) {
		n.owners[use] = m.Part
	}
}

// Check returns a finding for each name that another part uses.
func (n *Names) Check(d Document) Findings {
	var r *Report
	for use, key := range namesOf(d.Manifest) {
		owner, taken := n.owners[use]
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
	uses := make(map[nameUse]string, 2*len(m.Groups)+len(m.Callers))
	for i, g := range m.Groups {
		uses[nameUse{"group", g.Name}] = fmt.Sprintf("group[%d].name", i)
		uses[nameUse{"database", g.Database}] = fmt.Sprintf("group[%d].database", i)
	}
	for i, c := range m.Callers {
		uses[nameUse{"caller", c.Name}] = fmt.Sprintf("caller[%d].name", i)
	}
	return uses
}
