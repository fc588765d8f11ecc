package tracker

import (
	"fmt"
	"strconv"
	"strings"
)

// TermStart states that the records after offset Start, up to the Start of the
// next term in the lineage, were written in Term.
type TermStart struct {
	Term  uint64
	Start uint64
}

// Lineage lists the terms of a log in ascending order.
type Lineage []TermStart

// ParseLineage parses the form "1:0,2:57", in which each term is followed by its
// start. The empty string is the empty lineage.
func ParseLineage(s string) (Lineage, error) {
	if s == "" {
		return nil, nil
	}
	var l Lineage
	for field := range strings.SplitSeq(s, ",") {
		b, err := parseTermStart(field)
		if err != nil {
			return nil, err
		}
		if n := len(l); n > 0 && (b.Term <= l[n-1].Term || b.Start < l[n-1].Start) {
			return nil, fmt.Errorf("lineage %q is not in ascending order", s)
		}
		l = append(l, b)
	}
	return l, nil
}

func parseTermStart(s string) (TermStart, error) {
	term, start, ok := strings.Cut(s, ":")
	if !ok {
		return TermStart{}, fmt.Errorf("lineage entry %q has no colon", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return TermStart{}, fmt.Errorf("lineage entry %q: term: %w", s, err)
	}
	o, err := strconv.ParseUint(start, 10, 64)
	if err != nil {
		return TermStart{}, fmt.Errorf("lineage entry %q: start: %w", s, err)
	}
	return TermStart{Term: t, Start: o}, nil
}

// String returns the form that [ParseLineage] accepts.
func (l Lineage) String() string {
	var b strings.Builder
	for i, br := range l {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%d:%d", br.Term, br.Start)
	}
	return b.String()
}

// At returns the position of the record at offset in a log with this lineage,
// and the zero position if offset is 0.
func (l Lineage) At(offset uint64) Position {
	for i := len(l) - 1; i >= 0; i-- {
		if offset > l[i].Start {
			return Position{Term: l[i].Term, Offset: offset}
		}
	}
	return Position{}
}

// Contains reports whether the record at p is part of a log with this lineage
// that ends at or past the start of its last term. If p is in the last term, the
// caller must also compare p with the end of the log.
func (l Lineage) Contains(p Position) bool {
	for i, br := range l {
		if br.Term != p.Term {
			continue
		}
		last := i == len(l)-1
		return p.Offset > br.Start && (last || p.Offset <= l[i+1].Start)
	}
	return false
}
