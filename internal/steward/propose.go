package steward

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/approver"
)

func newProposeCmd(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "propose FILE",
		Short: "Open a proposal for the part in a file",
		Long: `Open a proposal for the part in a file.

A part has at most one open proposal. Repeating the command with the same file
is harmless. The proposal takes effect when both co-owners have approved it.`,
		Example: "  marigoldctl propose cooperative.toml",
		Args:    cobra.ExactArgs(1),
		RunE: markCommandErrors(func(cmd *cobra.Command, args []string) error {
			part, content, err := readCheckedPart(args[0])
			if err != nil {
				return err
			}
			return a.withStore(cmd, func(ctx context.Context, p *approver.Proposals, _ Settings) error {
				proposal, repeated, err := p.Propose(ctx, part, content)
				if err != nil {
					return err
				}
				result := "proposed"
				if repeated {
					result = "was proposed before"
				}
				e := proposal.Envelope
				fmt.Fprintf(cmd.OutOrStdout(), "part %q revision %d %s, hash %s\n", part, e.Revision, result, e.Hash())
				return nil
			})
		}),
	}
}
