package noder

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/auditor"
	"marigoldhub.example/hub/platform"
)

// checkOptions are the flags of check-config.
type checkOptions struct {
	inForce  string
	store    string
	format   string
	capacity float64
}

func newCheckConfigCommand() *cobra.Command {
	var opts checkOptions
	cmd := &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a configuration before it is written to the store",
		Long: `Check a configuration before it is written to the store.

All errors and warnings are printed with file, line and key path: entries that
cannot be decoded, that never match, or that contradict each other. With
--in-force, the differences to the configuration in that file are printed too,
with --store those to the configuration that the platform's store holds, and the
backend servers listed there are compared as well. The store is only read.
Keys of teams are shown by their fingerprints.

The exit code is 0 without findings, 1 with warnings only, and 2 with errors,
also if a file or the store cannot be read.`,
		Example: "  marigold-node check-config next.json --in-force now.json\n  marigold-node check-config next.json --store 10.200.1.7:8783",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkConfig(cmd.Context(), cmd.OutOrStdout(), args[0], opts)
		},
	}
	cmd.Flags().StringVar(&opts.inForce, "in-force", "", "file with the configuration in force")
	cmd.Flags().StringVar(&opts.store, "store", "", "address of the platform's store, host:port, to compare with what is in force")
	cmd.MarkFlagsMutuallyExclusive("in-force", "store")
	cmd.Flags().StringVar(&opts.format, "format", "text", "output format: text or json")
	cmd.Flags().Float64Var(&opts.capacity, "capacity", 0, "operations that the servers run in a second; the quotas are compared with it")
	return cmd
}

// checkConfig prints the report about a configuration. Its error says what the exit code is.
func checkConfig(ctx context.Context, w io.Writer, file string, opts checkOptions) error {
	if opts.format != "text" && opts.format != "json" {
		return exitError{exitErrors, errors.Errorf("format %q is neither text nor json", opts.format)}
	}
	r, err := newConfigReport(ctx, file, opts)
	if err != nil {
		return exitError{exitErrors, err}
	}
	if opts.format == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		err = enc.Encode(r)
	} else {
		_, err = io.WriteString(w, r.text())
	}
	switch {
	case err != nil:
		return exitError{exitErrors, err}
	case auditor.HasErrors(r.Findings):
		return exitError{exitErrors, errors.New("the configuration has errors")}
	case len(r.Findings) > 0:
		return exitError{exitWarnings, errors.New("the configuration has warnings")}
	}
	return nil
}

// newConfigReport checks the configuration in the file.
func newConfigReport(ctx context.Context, file string, opts checkOptions) (*configReport, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := &configReport{File: file, Findings: []auditor.Finding{}}
	places := platform.FindEntries(data)
	for _, text := range platform.DuplicateEntries(data) {
		r.addText(places, text)
	}
	next, err := platform.Schema().DecodeConfiguration(data)
	if err != nil {
		r.addDecodeError(data, places, err)
		r.Findings = auditor.Sort(r.Findings)
		return r, nil
	}
	r.Version, r.Routes, r.Services, r.Teams = next.Version, len(next.Routes), len(next.Services), len(next.Teams)
	findings := auditor.Check(next)
	if opts.capacity > 0 {
		findings = append(findings, auditor.CheckCapacity(next, opts.capacity)...)
	}
	now, err := readInForce(ctx, opts)
	if err != nil {
		return nil, err
	}
	if now.configuration != nil {
		var more []auditor.Finding
		r.InForce = now.configuration.Version
		r.Changes, more = auditor.Compare(now.configuration, next)
		findings = append(findings, more...)
	}
	if now.hasServers {
		findings = append(findings, auditor.CheckServers(next, now.servers)...)
	}
	r.addFindings(places, findings)
	r.Findings = auditor.Sort(r.Findings)
	return r, nil
}

// addText adds an error that begins with its key path.
func (r *configReport) addText(places *platform.EntryPlaces, text string) {
	path, message, ok := strings.Cut(text, ": ")
	if !ok {
		path, message = "", text
	}
	r.Findings = append(r.Findings, auditor.Finding{Severity: auditor.Error, Message: message}.At(path, places.Line(path)))
}

// addDecodeError adds each of the errors that are joined in err.
func (r *configReport) addDecodeError(data []byte, places *platform.EntryPlaces, err error) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			r.addText(places, e.Error())
		}
		return
	}
	f := auditor.Finding{Severity: auditor.Error, Message: err.Error()}
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		f.Line = platform.LineAt(data, syntax.Offset)
	case errors.As(err, &kind):
		f.Line = platform.LineAt(data, kind.Offset)
	}
	r.Findings = append(r.Findings, f)
}

// addFindings adds findings with their places.
func (r *configReport) addFindings(places *platform.EntryPlaces, findings []auditor.Finding) {
	paths := map[string]string{"version": "version", "limits": "limits", "routes": "routes", "teams": "tenants"}
	for database, path := range places.Routes {
		paths[auditor.RouteEntry(database)] = path
	}
	for name, path := range places.Services {
		paths[auditor.ServiceEntry(name)] = path
	}
	for name, path := range places.Teams {
		paths[auditor.TeamEntry(name)] = path
	}
	for _, f := range findings {
		r.Findings = append(r.Findings, f.At(paths[f.Entry], places.Line(paths[f.Entry])))
	}
}
