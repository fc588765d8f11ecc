package steward

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
)

func newDiffCmd(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what a file changes against the revision in force",
		Example: "  marigoldctl diff cooperative.toml",
		Args:    cobra.ExactArgs(1),
		RunE: markCommandErrors(func(cmd *cobra.Command, args []string) error {
			part, content, err := readCheckedPart(args[0])
			if err != nil {
				return err
			}
			return a.withStore(cmd, func(ctx context.Context, p *approver.Proposals, _ Settings) error {
				e, err := p.Active(ctx, part)
				if err != nil {
					return err
				}
				showDiff(cmd, part, e, string(content))
				return nil
			})
		}),
	}
}

// showDiff prints the difference between the active envelope, which may be nil,
// and new content.
func showDiff(cmd *cobra.Command, part string, active *approver.Envelope, content string) {
	w := cmd.OutOrStdout()
	before := ""
	if active == nil {
		fmt.Fprintf(w, "part %q: no revision is in force\n", part)
	} else {
		before = string(active.Content)
		fmt.Fprintf(w, "part %q: against revision %d in force\n", part, active.Revision)
	}
	if !writeDiff(w, before, content) {
		fmt.Fprintln(w, "no change")
		return
	}
	writeTeamChanges(w, part, before, content)
}

// writeTeamChanges prints a line for each change of a team.
func writeTeamChanges(w io.Writer, part, before, after string) {
	if part == checker.OwnersPart {
		return
	}
	// Content that does not pass the checks, as of an older program, has no teams here.
	old, _ := checker.CheckManifest(part, []byte(before))
	changed, _ := checker.CheckManifest(part, []byte(after))
	for _, c := range checker.DiffTeams(old.Teams, changed.Teams) {
		fmt.Fprintln(w, replaceControls(c.String()))
	}
}
