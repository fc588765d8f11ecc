package resolver

import (
	"strings"

	"marigoldhub.example/hub/internal/classifier"
)

// Evidence is what the command tags of a transaction prove about writes.
type Evidence int

const (
	// ProvedReadOnly means that no statement can have written.
	ProvedReadOnly Evidence = iota
	// Unproved means that a statement may have written.
	Unproved
	// ProvedWrite means that a statement wrote a row.
	ProvedWrite
)

// ApplyTo returns the commit with what the evidence proves about writes.
func (e Evidence) ApplyTo(c Commit) Commit {
	c.Wrote = e == ProvedWrite
	c.ReadOnly = e == ProvedReadOnly
	return c
}

// With returns the evidence after one more statement, of kind k, has completed with
// the command tag.
func (e Evidence) With(k classifier.Kind, tag string) Evidence {
	if e == ProvedWrite {
		if strings.HasPrefix(tag, "ROLLBACK") {
			return Unproved // the write may have been rolled back to a savepoint
		}
		return e
	}
	word, rest, _ := strings.Cut(tag, " ")
	switch word {
	case "INSERT", "UPDATE", "DELETE", "MERGE":
		if rows := rest[strings.LastIndexByte(rest, ' ')+1:]; rows != "0" && rows != "" {
			return ProvedWrite
		}
		return Unproved
	case "SELECT":
		if k == classifier.Read {
			return e
		}
	case "BEGIN", "START", "COMMIT", "ROLLBACK", "SAVEPOINT", "RELEASE", "SET", "RESET", "SHOW":
		return e
	}
	return Unproved
}
