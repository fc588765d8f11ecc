package steward

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/approver"
)

func newWithdrawCmd(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw PART",
		Short: "Delete the open proposal of a part",
		Long: `Delete the open proposal of a part.

Its revision number is not used again. A revision in force cannot be withdrawn;
propose the earlier content again instead.`,
		Example: "  marigoldctl withdraw cooperative",
		Args:    cobra.ExactArgs(1),
		RunE: markCommandErrors(func(cmd *cobra.Command, args []string) error {
			return a.withStore(cmd, func(ctx context.Context, p *approver.Proposals, _ Settings) error {
				proposal, err := p.Withdraw(ctx, args[0])
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "part %q revision %d withdrawn\n", args[0], proposal.Envelope.Revision)
				}
				return err
			})
		}),
	}
}
