package steward

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
)

func newGenesisCmd(a *app) *cobra.Command {
	var keyFiles []string
	cmd := &cobra.Command{
		Use:   "genesis --key FILE [--key FILE]",
		Short: "Write the first revision of the part \"owners\"",
		Long: `Write the first revision of the part "owners" with the genesis keys of the
settings.

With the keys of both co-owners the revision comes into force. With one key it
is proposed and approved; the other co-owner repeats the command with the other
key. Every step can be repeated.`,
		Example: "  marigoldctl genesis --key cooperative.pem",
		Args:    cobra.NoArgs,
		RunE: markCommandErrors(func(cmd *cobra.Command, _ []string) error {
			var signers []approver.Signer
			for _, file := range keyFiles {
				signer, err := approver.ReadSigner(file)
				if err != nil {
					return err
				}
				signers = append(signers, signer)
			}
			return a.withStore(cmd, func(ctx context.Context, p *approver.Proposals, s Settings) error {
				return writeGenesis(ctx, cmd, p, s, signers)
			})
		}),
	}
	cmd.Flags().StringArrayVar(&keyFiles, "key", nil, "private key file of a co-owner; can be repeated")
	cobra.CheckErr(cmd.MarkFlagRequired("key"))
	return cmd
}

func writeGenesis(ctx context.Context, cmd *cobra.Command, p *approver.Proposals, s Settings, signers []approver.Signer) error {
	active, err := p.Active(ctx, checker.OwnersPart)
	if err != nil {
		return err
	}
	if active != nil {
		return fmt.Errorf("part %q: revision %d is in force", checker.OwnersPart, active.Revision)
	}
	content := approver.FormatOwners(s.Genesis)
	if _, _, err := p.Propose(ctx, checker.OwnersPart, []byte(content)); err != nil {
		return err
	}
	for _, signer := range signers {
		r, err := p.Review(ctx, checker.OwnersPart)
		if err != nil {
			return err
		}
		if string(r.Proposal.Envelope.Content) != content {
			return errors.New("the open proposal is not the one of this command")
		}
		if err := approveReview(ctx, cmd, p, r, signer); err != nil {
			return err
		}
	}
	return nil
}
