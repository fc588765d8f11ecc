package checker

import "fmt"

// Report collects the findings of one file with the positions of their keys.
type Report struct {
	file     string
	keys     *keyIndex
	findings Findings
}

// DecodeWithReport is Decode for callers that add findings of their own. When
// the report already has findings, the value may be incomplete.
func DecodeWithReport[T any](file string, data []byte) (T, *Report) {
	return decode[T](file, data)
}

func newReport(file string, data []byte) *Report {
	return &Report{file: file, keys: indexKeys(data)}
}

// Add adds a finding at the key, or at the nearest enclosing key that is set.
func (r *Report) Add(key, format string, args ...any) {
	r.addAtPosition(r.keys.position(key), key, fmt.Sprintf(format, args...))
}

// Require adds a finding when the key is not set and returns whether it is.
func (r *Report) Require(key string) bool {
	if r.keys.has(key) {
		return true
	}
	r.Add(key, "missing")
	return false
}

// Has reports whether the key is set.
func (r *Report) Has(key string) bool { return r.keys.has(key) }

// HasValue reports whether the key is set and has no finding so far.
func (r *Report) HasValue(key string) bool { return r.keys.has(key) && !r.hasFinding(key) }

// HasSyntaxError reports whether the file has a syntax error. Keys after it are
// not parsed and look unset.
func (r *Report) HasSyntaxError() bool { return r.keys.hasSyntaxError }

// Findings returns all findings so far, sorted by position.
func (r *Report) Findings() Findings { return Findings{}.Merge(r.findings) }

func (r *Report) addAtPosition(p Position, key, message string) {
	r.findings = append(r.findings, Finding{File: r.file, Line: p.Line, Column: p.Column, Key: key, Message: message})
}

// hasFinding reports whether a finding about exactly this key exists.
func (r *Report) hasFinding(key string) bool {
	for _, f := range r.findings {
		if f.Key == key {
			return true
		}
	}
	return false
}
