package steward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/adviser"
	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/storer"
)

// againstStore is the value of --against that stands for the store.
const againstStore = "store"

// checkOptions are the flags of check.
type checkOptions struct {
	against  string
	format   string
	capacity float64
}

func newCheckCmd(a *app) *cobra.Command {
	var opts checkOptions
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check files of manifest parts before they are proposed",
		Long: `Check files of manifest parts before they are proposed.

Errors are printed as file:line:column: key: message, and warnings as
file:line:column: warning: key: message. Warnings are about entries that no
statement can match and limits that contradict each other; a part with warnings
can be proposed.

With --against FILE, the changes relative to that file are printed, entry by
entry; with --against store, those relative to the revision in force. Names that
another part in force has are errors then, or warnings if the file of that part
is checked as well and gives them up. The store is read only with --against
store, and never written.

Exit codes: 0 neither errors nor warnings, 1 warnings only, 2 errors or wrong
usage, 3 store unreachable.`,
		Example: "  marigoldctl check cooperative.toml council-unit.toml\n  marigoldctl check council-unit.toml --against store --format json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			switch {
			case opts.format != "text" && opts.format != "json":
				return errors.Errorf("--format is %q, must be text or json", opts.format)
			case opts.capacity < 0:
				return errors.Errorf("--capacity is %g, must not be negative", opts.capacity)
			case opts.against != "" && opts.against != againstStore && len(files) > 1:
				return errors.New("--against FILE compares one file; --against store compares several")
			}
			r, err := a.newCheckReport(cmd, files, opts)
			if err == nil {
				err = r.write(cmd.OutOrStdout(), opts.format)
			}
			switch {
			case errors.Is(err, storer.ErrUnavailable):
				return commandError{err}
			case err != nil:
				return codeError{ExitErrors, err}
			}
			return r.result()
		},
	}
	cmd.Flags().StringVar(&opts.against, "against", "", "file to compare with, or store for the revision in force")
	cmd.Flags().StringVar(&opts.format, "format", "text", "output format: text or json")
	cmd.Flags().Float64Var(&opts.capacity, "capacity", 0, "operations that the servers run in a second; the quotas of all files are compared with it")
	return cmd
}

// newCheckReport checks each file by itself and then all of them together for name
// conflicts, and compares them with what the options name.
func (a *app) newCheckReport(cmd *cobra.Command, files []string, opts checkOptions) (*checkReport, error) {
	r := &checkReport{Findings: []checkFinding{}}
	var parts []checkedPart
	for _, file := range files {
		part, content, err := readPart(file)
		if err != nil {
			return nil, err
		}
		p := checkedPart{file: file, name: part, content: content}
		var findings checker.Findings
		p.document, findings = approver.CheckContent(file, part, content)
		r.add(checkError, findings)
		p.isSound = len(findings) == 0
		if p.isSound && part != checker.OwnersPart {
			r.add(checkWarning, adviser.Advise(file, content))
		}
		parts = append(parts, p)
		r.Parts = append(r.Parts, partCheck{File: file, Part: part})
	}
	if opts.capacity > 0 {
		r.add(checkWarning, adviser.AdviseCapacity(documentsOf(parts), opts.capacity))
	}
	if err := a.compareParts(cmd, r, parts, opts.against); err != nil {
		return nil, err
	}
	r.sort()
	return r, nil
}

// checkedPart is a file that was checked by itself.
type checkedPart struct {
	file, name string
	content    []byte
	document   checker.Document
	isSound    bool
}

// documentsOf returns the documents of the parts without errors. The co-owners' keys are not
// among them.
func documentsOf(parts []checkedPart) []checker.Document {
	var documents []checker.Document
	for _, p := range parts {
		if p.isSound && p.name != checker.OwnersPart {
			documents = append(documents, p.document)
		}
	}
	return documents
}

// compareParts adds the name conflicts between parts, and the differences to what against
// names.
func (a *app) compareParts(cmd *cobra.Command, r *checkReport, parts []checkedPart, against string) error {
	if against == againstStore {
		return a.withStore(cmd, func(ctx context.Context, p *approver.Proposals, _ Settings) error {
			return r.compareWithStore(ctx, p, parts)
		})
	}
	_, conflicts := checker.BuildCatalog(documentsOf(parts)...)
	r.add(checkError, conflicts)
	if against == "" {
		return nil
	}
	name, content, err := readPart(against)
	if err != nil {
		return err
	}
	if name != parts[0].name {
		return errors.Errorf("%s is part %q and %s is part %q: they cannot be compared", against, name, parts[0].file, parts[0].name)
	}
	if _, findings := approver.CheckContent(against, name, content); len(findings) > 0 {
		return errors.Wrap(findings, "the file to compare with")
	}
	if parts[0].isSound {
		r.Parts[0].compare(against, content, parts[0])
	}
	return nil
}

// compareWithStore compares each part with its revision in force, and the names in it with
// those of the other parts in force.
func (r *checkReport) compareWithStore(ctx context.Context, p *approver.Proposals, parts []checkedPart) error {
	for i, part := range parts {
		if !part.isSound {
			continue
		}
		active, err := p.Active(ctx, part.name)
		switch {
		case err != nil:
			return err
		case active == nil:
			r.Parts[i].compare("no revision in force", nil, part)
		default:
			r.Parts[i].Revision = active.Revision
			r.Parts[i].compare(fmt.Sprintf("revision %d in force", active.Revision), active.Content, part)
		}
	}
	inForce, err := p.ActiveDocuments(ctx)
	if err != nil {
		return err
	}
	r.addConflicts(inForce, documentsOf(parts))
	return nil
}

// addConflicts adds the names that a checked part shares with another one in force. If the
// other part is checked as well and gives the name up, the order of the proposals decides:
// that is a warning.
func (r *checkReport) addConflicts(inForce, checked []checker.Document) {
	isChecked := func(d checker.Document) bool {
		return slices.ContainsFunc(checked, func(c checker.Document) bool { return c.Part == d.Part })
	}
	// A conflict is reported for the later of two documents, which is that of the file.
	_, conflicts := checker.BuildCatalog(slices.Concat(slices.DeleteFunc(slices.Clone(inForce), isChecked), checked)...)
	r.add(checkError, conflicts)
	for _, d := range checked {
		others := slices.DeleteFunc(slices.Clone(inForce), func(o checker.Document) bool { return o.Part == d.Part })
		_, now := checker.BuildCatalog(append(others, d)...)
		for _, f := range now {
			if !slices.Contains(conflicts, f) {
				f.Message += ", whose file gives it up: that part must be in force before this one is proposed"
				r.add(checkWarning, checker.Findings{f})
			}
		}
	}
}

// write prints the report.
func (r *checkReport) write(w io.Writer, format string) error {
	if format == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	_, err := io.WriteString(w, r.text())
	return err
}
