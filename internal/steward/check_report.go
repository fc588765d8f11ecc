package steward

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/adviser"
	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
)

// Severities of findings in a report.
const (
	checkError   = "error"
	checkWarning = "warning"
)

// checkReport is what check prints.
type checkReport struct {
	Parts    []partCheck    `json:"parts"`
	Findings []checkFinding `json:"findings"`
}

// partCheck is what check says of one file.
type partCheck struct {
	File string `json:"file"`
	Part string `json:"part"`
	// Against says what the part was compared with; empty if it was not compared.
	Against string `json:"against,omitempty"`
	// Revision is the revision in force that the part was compared with; 0 if there is none
	// or the part was not compared with the store.
	Revision uint64           `json:"revision,omitempty"`
	Changes  []adviser.Change `json:"changes,omitempty"`
}

// compare adds what the part changes against other content of the same part, which may be
// empty. Content that does not pass the checks, as of an older program, is compared as far
// as it can be decoded.
func (p *partCheck) compare(against string, content []byte, part checkedPart) {
	p.Against = against
	if part.name != checker.OwnersPart {
		before, _ := checker.CheckManifest(part.name, content)
		p.Changes = adviser.Compare(before, part.document.Manifest)
		return
	}
	before, _ := approver.CheckOwners(part.name, content)
	after, _ := approver.CheckOwners(part.file, part.content)
	for _, c := range approver.DiffOwners(before, after) {
		p.Changes = append(p.Changes, adviser.Change{Entry: fmt.Sprintf("co-owner %q", c.Owner), Text: c.Text})
	}
}

// checkFinding is a finding of either severity.
type checkFinding struct {
	Severity string `json:"severity"`
	File     string `json:"file"`
	// Line and Column count from 1; the column counts bytes.
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns the finding as a line for operators. Errors have the form that they have
// in all commands.
func (f checkFinding) String() string {
	c := checker.Finding{File: f.File, Line: f.Line, Column: f.Column, Key: f.Key, Message: f.Message}
	if f.Severity == checkError {
		return c.String()
	}
	place := fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	return place + f.Severity + ": " + strings.TrimPrefix(c.String(), place)
}

func (r *checkReport) add(severity string, fs checker.Findings) {
	for _, f := range fs {
		r.Findings = append(r.Findings, checkFinding{severity, f.File, f.Line, f.Column, f.Key, f.Message})
	}
}

// sort puts errors first, each severity by its places, and drops repetitions.
func (r *checkReport) sort() {
	slices.SortStableFunc(r.Findings, func(f, g checkFinding) int {
		return cmp.Or(cmp.Compare(f.Severity, g.Severity), cmp.Compare(f.File, g.File), cmp.Compare(f.Line, g.Line), cmp.Compare(f.Column, g.Column))
	})
	r.Findings = slices.Compact(r.Findings)
}

// errors returns the number of errors.
func (r *checkReport) errors() int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == checkError {
			n++
		}
	}
	return n
}

// result returns nil for a report without findings, or else an error with the exit code.
func (r *checkReport) result() error {
	n := r.errors()
	switch warnings := len(r.Findings) - n; {
	case n > 0:
		return codeError{ExitErrors, errors.Errorf("errors: %d, warnings: %d", n, warnings)}
	case warnings > 0:
		return codeError{ExitWarnings, errors.Errorf("errors: 0, warnings: %d", warnings)}
	}
	return nil
}

// text returns the report for a terminal: the findings, then the changes of each part.
func (r *checkReport) text() string {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintln(&b, replaceControls(f.String()))
	}
	for _, p := range r.Parts {
		if p.Against != "" {
			p.writeChanges(&b)
		}
	}
	if r.errors() == 0 {
		for _, p := range r.Parts {
			fmt.Fprintf(&b, "%s: part %q: ok\n", p.File, p.Part)
		}
	}
	return b.String()
}

func (p *partCheck) writeChanges(b *strings.Builder) {
	if len(p.Changes) == 0 {
		fmt.Fprintf(b, "part %q against %s: no difference\n", p.Part, p.Against)
		return
	}
	fmt.Fprintf(b, "part %q against %s:\n", p.Part, p.Against)
	for _, c := range p.Changes {
		fmt.Fprintf(b, "  %s\n", replaceControls(c.String()))
	}
}
