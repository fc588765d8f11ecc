package steward

import (
	"fmt"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/approver"
)

func newKeygenCmd(*app) *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:   "keygen --out FILE",
		Short: "Make a key of a co-owner",
		Long: `Make a key of a co-owner.

The private key goes to a new file. The public key is printed in the form that
the genesis settings and the part "owners" use.`,
		Example: "  marigoldctl keygen --out owner.pem",
		Args:    cobra.NoArgs,
		RunE: markCommandErrors(func(cmd *cobra.Command, _ []string) error {
			signer, err := approver.GenerateSigner()
			if err != nil {
				return err
			}
			if err := signer.WriteFile(out); err != nil {
				return err
			}
			key := signer.Key()
			fmt.Fprintf(cmd.OutOrStdout(), "id = %q\npublic = %q\n", key.ID, key.Public)
			return nil
		}),
	}
	cmd.Flags().StringVar(&out, "out", "", "file for the private key; it must not exist")
	cobra.CheckErr(cmd.MarkFlagRequired("out"))
	return cmd
}
