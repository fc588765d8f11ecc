package steward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
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

All errors are printed as file:line:column: key: message, and all warnings as
file:line:column: warning: key: message: entries that no statement can match,
and limits that contradict each other. A part with warnings can be proposed.

With --against FILE, what the part changes against that file is printed, entry
by entry; with --against store, what it changes against the revision in force,
and name conflicts with the other parts in force are errors. Without --against
store the store is not used. It is only read.

Exit codes: 0 neither errors nor warnings, 1 warnings only, 2 errors or wrong
usage, 3 store unreachable.`,
		Example: "  marigoldctl check cooperative.toml council-unit.toml\n  marigoldctl check council-unit.toml --against store --format json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			switch {
			case opts.format != "text" && opts.format != "json":
				return errors.Errorf("--format is %q, must be text or json", opts.format)
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
	cmd.Flags().Float64Var(&opts.capacity, "capacity", 0, "operations that the servers run in a second; the quotas of a part are compared with it")
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
			if opts.capacity > 0 {
				r.add(checkWarning, adviser.AdviseCapacity(file, content, opts.capacity))
			}
		}
		parts = append(parts, p)
		r.Parts = append(r.Parts, partCheck{File: file, Part: part})
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

// hasManifest reports whether the part can be compared by its entries.
func (p checkedPart) hasManifest() bool { return p.isSound && p.name != checker.OwnersPart }

// compareParts adds the name conflicts between parts, and the differences to what against
// names.
func (a *app) compareParts(cmd *cobra.Command, r *checkReport, parts []checkedPart, against string) error {
	var documents []checker.Document
	for _, p := range parts {
		if p.hasManifest() {
			documents = append(documents, p.document)
		}
	}
	if against == againstStore {
		return a.withStore(cmd, func(ctx context.Context, p *approver.Proposals, _ Settings) error {
			return r.compareWithStore(ctx, p, parts, documents)
		})
	}
	_, conflicts := checker.BuildCatalog(documents...)
	r.add(checkError, conflicts)
	if against == "" || len(documents) == 0 {
		return nil
	}
	content, err := os.ReadFile(against)
	if err != nil {
		return err
	}
	before, findings := checker.CheckManifest(against, content)
	switch {
	case len(findings) > 0:
		return errors.Wrap(findings, "the file to compare with")
	case before.Part != parts[0].name:
		return errors.Errorf("%s is part %q and %s is part %q: they cannot be compared", against, before.Part, parts[0].file, parts[0].name)
	}
	r.Parts[0].compare(against, before, parts[0].document.Manifest)
	return nil
}

// compareWithStore compares each part with its revision in force, and all of them with the
// other parts in force for name conflicts.
func (r *checkReport) compareWithStore(ctx context.Context, p *approver.Proposals, parts []checkedPart, documents []checker.Document) error {
	checked := map[string]bool{}
	for i, part := range parts {
		checked[part.name] = true
		if !part.hasManifest() {
			continue
		}
		active, err := p.Active(ctx, part.name)
		if err != nil {
			return err
		}
		var before checker.Manifest
		against := "no revision in force"
		if active != nil {
			r.Parts[i].Revision = active.Revision
			against = fmt.Sprintf("revision %d in force", active.Revision)
			// Content that does not pass the checks, as of an older program, is compared as
			// far as it can be decoded.
			before, _ = checker.CheckManifest(part.name, active.Content)
		}
		r.Parts[i].compare(against, before, part.document.Manifest)
	}
	others, err := p.ActiveDocuments(ctx)
	if err != nil {
		return err
	}
	others = slices.DeleteFunc(others, func(d checker.Document) bool { return checked[d.Part] })
	// A conflict is reported for the later of two documents, which is the one of the file.
	_, conflicts := checker.BuildCatalog(append(others, documents...)...)
	r.add(checkError, conflicts)
	return nil
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
