package steward

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/approver"
)

func newHistoryCmd(a *app) *cobra.Command {
	return &cobra.Command{
		Use:     "history PART",
		Short:   "List the accepted revisions of a part",
		Example: "  marigoldctl history cooperative",
		Args:    cobra.ExactArgs(1),
		RunE: markCommandErrors(func(cmd *cobra.Command, args []string) error {
			return a.withStore(cmd, func(ctx context.Context, p *approver.Proposals, _ Settings) error {
				entries, err := p.History(ctx, args[0])
				if err != nil {
					return err
				}
				for _, entry := range entries {
					e := entry.Envelope
					fmt.Fprintf(cmd.OutOrStdout(), "revision %d owners %d hash %s approved by %q%s\n",
						e.Revision, e.OwnersRevision, e.Hash(), e.ApprovingOwners(), verifyErrorText(entry.Err))
				}
				return nil
			})
		}),
	}
}

func verifyErrorText(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprintf(" NOT VERIFIED: %v", err)
}
