package steward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/reporter"
)

func newStatusCmd(a *app) *cobra.Command {
	var jsonOutput bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the parts in the store and the revisions in force at the instances",
		Example: `  marigoldctl status
  marigoldctl status --json`,
		Args: cobra.NoArgs,
		RunE: markCommandErrors(func(cmd *cobra.Command, _ []string) error {
			report, err := a.status(cmd)
			if err != nil {
				return err
			}
			if jsonOutput {
				err = json.NewEncoder(cmd.OutOrStdout()).Encode(report)
			} else {
				report.write(cmd.OutOrStdout())
			}
			if err != nil {
				return err
			}
			return report.err()
		}),
	}
	cmd.Flags().BoolVar(&jsonOutput, "json", false, "print JSON")
	return cmd
}

// statusReport is the output of the command.
type statusReport struct {
	StoreError     string           `json:"store_error,omitempty"`
	Parts          []partReport     `json:"parts"`
	Instances      []instanceReport `json:"instances"`
	storeErr       error
	unreachableErr error
}

type partReport struct {
	Part     string   `json:"part"`
	Revision uint64   `json:"revision"`
	Hash     string   `json:"hash,omitempty"`
	Last     uint64   `json:"last_revision"`
	Proposed uint64   `json:"proposed_revision,omitempty"`
	Proposer string   `json:"proposer,omitempty"`
	Approved []string `json:"approved_by,omitempty"`
	Faults   []string `json:"faults,omitempty"`
}

type instanceReport struct {
	Name  string           `json:"name"`
	Error string           `json:"error,omitempty"`
	State *reporter.Status `json:"state,omitempty"`
}

// status queries the store and the instances. The instances are queried even
// when the store is unavailable.
func (a *app) status(cmd *cobra.Command) (statusReport, error) {
	var report statusReport
	err := a.withStore(cmd, func(ctx context.Context, p *approver.Proposals, s Settings) error {
		parts, err := p.Status(ctx)
		if err != nil {
			report.storeErr, report.StoreError = err, err.Error()
		}
		for _, part := range parts {
			report.Parts = append(report.Parts, newPartReport(part))
		}
		responses, err := queryInstances[reporter.Status](ctx, s, "/v1/status")
		if err != nil {
			return err
		}
		for _, response := range responses {
			report.Instances = append(report.Instances, newInstanceReport(response))
		}
		report.unreachableErr = checkReachable(responses)
		return nil
	})
	return report, err
}

func newPartReport(s approver.PartStatus) partReport {
	r := partReport{Part: s.Part, Last: s.LastRevision}
	if s.Active != nil {
		r.Revision, r.Hash = s.Active.Revision, s.Active.Hash().String()
	}
	if s.Proposal != nil {
		r.Proposed, r.Proposer = s.Proposal.Envelope.Revision, s.Proposal.Proposer
		r.Approved = s.Proposal.Envelope.ApprovingOwners()
	}
	for _, err := range s.Errors {
		r.Faults = append(r.Faults, err.Error())
	}
	return r
}

func newInstanceReport(a response[reporter.Status]) instanceReport {
	if a.Err != nil {
		return instanceReport{Name: a.Instance.Name, Error: a.Err.Error()}
	}
	return instanceReport{Name: a.Instance.Name, State: &a.Value}
}

func (r statusReport) write(w io.Writer) {
	if r.storeErr != nil {
		fmt.Fprintf(w, "store: %v\n", r.storeErr)
	}
	for _, p := range r.Parts {
		fmt.Fprintf(w, "part %q: revision %d in force", p.Part, p.Revision)
		if p.Proposed != 0 {
			fmt.Fprintf(w, "; revision %d proposed by %q, approved by %q", p.Proposed, p.Proposer, p.Approved)
		}
		fmt.Fprintln(w)
		for _, fault := range p.Faults {
			fmt.Fprintf(w, "  fault: %s\n", fault)
		}
	}
	for _, instance := range r.Instances {
		instance.write(w)
	}
}

func (r instanceReport) write(w io.Writer) {
	if r.State == nil {
		fmt.Fprintf(w, "instance %q: unreachable: %s\n", r.Name, r.Error)
		return
	}
	fmt.Fprintf(w, "instance %q: zone %s, ready %v", r.Name, r.State.Zone, r.State.Ready)
	if r.State.Reason != "" {
		fmt.Fprintf(w, " (%s)", r.State.Reason)
	}
	if r.State.Stale {
		fmt.Fprint(w, ", configuration_stale")
	}
	for _, p := range r.State.Parts {
		fmt.Fprintf(w, ", %s %d", p.Part, p.Revision)
	}
	fmt.Fprintln(w)
}

func (r statusReport) err() error {
	if r.storeErr != nil {
		return r.storeErr
	}
	return r.unreachableErr
}
