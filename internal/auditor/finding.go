package auditor

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity says how bad a finding is.
type Severity int

// Severities of findings.
const (
	Warning Severity = iota
	Error
)

// String returns the name that operators see.
func (s Severity) String() string { return [...]string{"warning", "error"}[s] }

// MarshalText implements [encoding.TextMarshaler].
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one thing in a configuration that an operator should look at.
type Finding struct {
	Severity Severity `json:"severity"`
	// Line and Path say where the entry stands: the line, counted from 1, and the key path.
	// They are 0 and empty where that is not known.
	Line int    `json:"line,omitempty"`
	Path string `json:"path,omitempty"`
	// Entry names the entry, such as `team "kiosks"`; empty if Path is its only name.
	Entry   string `json:"entry,omitempty"`
	Message string `json:"message"`
}

// At returns the finding with its place.
func (f Finding) At(path string, line int) Finding {
	f.Path, f.Line = path, line
	return f
}

// String returns the finding as a line for operators, without its line number.
func (f Finding) String() string {
	parts := []string{f.Severity.String(), f.Path, f.Entry, f.Message}
	parts = slices.DeleteFunc(slices.Compact(parts), func(part string) bool { return part == "" })
	return strings.Join(parts, ": ")
}

// Sort sorts findings, errors first, by their places and entries, and drops those that
// repeat another one.
func Sort(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(b.Severity, a.Severity), cmp.Compare(a.Line, b.Line), strings.Compare(a.Entry, b.Entry))
	})
	return slices.Compact(findings)
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// findings collects findings.
type findings []Finding

func (fs *findings) errorf(entry, format string, args ...any) {
	*fs = append(*fs, Finding{Severity: Error, Entry: entry, Message: fmt.Sprintf(format, args...)})
}

func (fs *findings) warnf(entry, format string, args ...any) {
	*fs = append(*fs, Finding{Severity: Warning, Entry: entry, Message: fmt.Sprintf(format, args...)})
}
