package checker

import "fmt"

// CheckCatalog merges parts in the order in which they came. A part that uses
// a group, database or caller name of an earlier part stays out of the
// catalog, with a finding for each clash.
func CheckCatalog(parts ...Document) (*Catalog, Findings) {
	var accepted []Manifest
	var findings Findings
	owners := map[nameUse]string{}
	for _, d := range parts {
		clashes := findClashes(d, owners)
		if len(clashes) > 0 {
			findings = findings.Merge(clashes)
			continue
		}
		for use := range namesOf(d.Manifest) {
			owners[use] = d.Part
		}
		accepted = append(accepted, d.Manifest)
	}
	return NewCatalog(accepted...), findings
}

// nameUse is a name that must be unique over all parts.
type nameUse struct {
	kind string
	name string
}

// namesOf returns the key of each name that must be unique over all parts.
func namesOf(m Manifest) map[nameUse]string {
	uses := map[nameUse]string{{"part", m.Part}: "part"}
	for i, g := range m.Groups {
		uses[nameUse{"group", g.Name}] = fmt.Sprintf("group[%d].name", i)
		uses[nameUse{"database", g.Database}] = fmt.Sprintf("group[%d].database", i)
	}
	for i, c := range m.Callers {
		uses[nameUse{"caller", c.Name}] = fmt.Sprintf("caller[%d].name", i)
	}
	return uses
}

func findClashes(d Document, owners map[nameUse]string) Findings {
	var r *Report
	for use, key := range namesOf(d.Manifest) {
		owner, taken := owners[use]
		if !taken {
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
