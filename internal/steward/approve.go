package steward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/approver"
)

func newApproveCmd(a *app) *cobra.Command {
	var keyFile string
	var revision uint64
	var yes bool
	cmd := &cobra.Command{
		Use:   "approve PART --key FILE",
		Short: "Show and sign the open proposal of a part",
		Long: `Show and sign the open proposal of a part.

The proposal is shown as a difference against the revision in force and is
signed only after it passed all checks against the present owners. The second
co-owner's approval puts it in force. In pipelines, --revision and --yes replace
the question.`,
		Example: `  marigoldctl approve cooperative --key owner.pem
  marigoldctl approve owners --key owner.pem --revision 3 --yes`,
		Args: cobra.ExactArgs(1),
		RunE: markCommandErrors(func(cmd *cobra.Command, args []string) error {
			signer, err := approver.ReadSigner(keyFile)
			if err != nil {
				return err
			}
			var review approver.Review
			err = a.withStore(cmd, func(ctx context.Context, p *approver.Proposals, _ Settings) error {
				review, err = p.Review(ctx, args[0])
				return err
			})
			if err != nil {
				return err
			}
			if err := confirmReview(cmd, review, revision, yes); err != nil {
				return err
			}
			return a.withStore(cmd, func(ctx context.Context, p *approver.Proposals, _ Settings) error {
				return approveReview(ctx, cmd, p, review, signer)
			})
		}),
	}
	cmd.Flags().StringVar(&keyFile, "key", "", "private key file of the co-owner")
	cmd.Flags().Uint64Var(&revision, "revision", 0, "refuse any other revision")
	cmd.Flags().BoolVar(&yes, "yes", false, "do not ask")
	cobra.CheckErr(cmd.MarkFlagRequired("key"))
	return cmd
}

// confirmReview shows the proposal and asks the operator whether to approve it.
func confirmReview(cmd *cobra.Command, r approver.Review, revision uint64, yes bool) error {
	e := r.Proposal.Envelope
	if revision != 0 && revision != e.Revision {
		return fmt.Errorf("part %q: revision %d is proposed, not %d", e.Part, e.Revision, revision)
	}
	w := cmd.OutOrStdout()
	showDiff(cmd, e.Part, r.Active, string(e.Content))
	fmt.Fprintf(w, "revision %d proposed by %q, hash %s, approved by %q\n", e.Revision, r.Proposal.Proposer, e.Hash(), e.ApprovingOwners())
	if yes {
		return nil
	}
	fmt.Fprintf(w, "Approve revision %d of part %q? Type yes: ", e.Revision, e.Part)
	answer, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
	if strings.TrimSpace(answer) != "yes" {
		return errors.New("not approved")
	}
	return nil
}

func approveReview(ctx context.Context, cmd *cobra.Command, p *approver.Proposals, r approver.Review, signer approver.Signer) error {
	result, err := p.Approve(ctx, r, signer)
	if err != nil {
		return err
	}
	e := r.Proposal.Envelope
	fmt.Fprintf(cmd.OutOrStdout(), "part %q revision %d %s\n", e.Part, e.Revision, approveResultTexts[result])
	return nil
}

var approveResultTexts = map[approver.ApproveResult]string{
	approver.AwaitingSecondApproval: "approved; the other co-owner's approval is missing",
	approver.AlreadyApproved:        "was approved by this co-owner before; nothing changed",
	approver.Activated:              "is in force",
}
