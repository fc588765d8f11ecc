package tracker

import (
	"cmp"
	"fmt"
)

// Position is a place in the log of a database group. Positions compare by
// term first.
type Position struct {
	// Term is the term in which the record at Offset was written.
	Term uint64
	// Offset counts records from the start of the log.
	Offset uint64
}

// Compare returns -1, 0 or +1.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// Covers reports whether a log that ends at p contains the confirmed position
// q. The answer is only meaningful for a confirmed q: a confirmed record is
// part of every later term's log at the same offset.
func (p Position) Covers(q Position) bool {
	return p.Term >= q.Term && p.Offset >= q.Offset
}

// IsZero reports whether p is the position before the first record.
func (p Position) IsZero() bool { return p == Position{} }

// String returns "term/offset".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Offset) }
