package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a file.
type Finding struct {
	File string
	// Line and Column count from 1; the column counts bytes.
	Line   int
	Column int
	// Key is the path of the key, such as "group[0].server[2].address". It is
	// empty for a finding about the whole file.
	Key     string
	Message string
}

// String returns "file:line:column: key: message".
func (f Finding) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Key, f.Message)
}

func (f Finding) compare(g Finding) int {
	return cmp.Or(
		cmp.Compare(f.File, g.File),
		cmp.Compare(f.Line, g.Line),
		cmp.Compare(f.Column, g.Column),
		cmp.Compare(f.Key, g.Key),
		cmp.Compare(f.Message, g.Message),
	)
}

// Findings is a list of findings, sorted by position and without duplicates. A
// non-empty list is an error.
type Findings []Finding

// Error returns one finding per line.
func (fs Findings) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Merge returns the findings of both lists, sorted and without duplicates.
func (fs Findings) Merge(more Findings) Findings {
	all := slices.Concat(fs, more)
	slices.SortFunc(all, Finding.compare)
	return slices.Compact(all)
}

func (fs Findings) hasLine(line int) bool {
	return slices.ContainsFunc(fs, func(f Finding) bool { return f.Line == line })
}
