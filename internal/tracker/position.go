package tracker

import (
	"cmp"
	"fmt"
)

// Position is a position in the log of a database group. The zero position is
// before the first record.
type Position struct {
	// Term is the term in which the record at Offset was written.
	Term uint64
	// Offset is the number of the record, counted from 1 at the start of the log.
	Offset uint64
}

// Compare returns -1, 0 or +1. Positions are ordered by term, then by offset.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// Covers reports whether a log that ends at p contains the confirmed position q.
// The result is only meaningful if q is confirmed: a confirmed record is part of
// every later term's log at the same offset.
func (p Position) Covers(q Position) bool {
	return p.Term >= q.Term && p.Offset >= q.Offset
}

// IsZero reports whether p is the position before the first record.
func (p Position) IsZero() bool { return p == Position{} }

// String returns "term/offset".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Offset) }
