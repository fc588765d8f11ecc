package steward

import (
	"fmt"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/keyer"
)

func newTeamkeyCmd(*app) *cobra.Command {
	var out, of string
	cmd := &cobra.Command{
		Use:   "teamkey (--out FILE | --of FILE)",
		Short: "Make a key of a team, or show the digest of one",
		Long: `Make a key of a team, or show the digest of one.

The key goes to a new file and is the password of the team's members. Only its
digest belongs in the manifest, under "keys" of the team. The fingerprint, the
beginning of the digest, names the key in differences, logs and metrics.`,
		Example: `  marigoldctl teamkey --out search.key
  marigoldctl teamkey --of search.key`,
		Args: cobra.NoArgs,
		RunE: markCommandErrors(func(cmd *cobra.Command, _ []string) error {
			key, err := teamKey(out, of)
			if err != nil {
				return err
			}
			d := informer.DigestKey(key)
			fmt.Fprintf(cmd.OutOrStdout(), "digest = %q\nfingerprint = %q\n", d, d.Fingerprint())
			return nil
		}),
	}
	cmd.Flags().StringVar(&out, "out", "", "file for a new key; it must not exist")
	cmd.Flags().StringVar(&of, "of", "", "file of an existing key")
	cmd.MarkFlagsOneRequired("out", "of")
	cmd.MarkFlagsMutuallyExclusive("out", "of")
	return cmd
}

// teamKey makes a key or reads an existing one.
func teamKey(out, of string) (string, error) {
	if out != "" {
		return keyer.GenerateTeamKey(out)
	}
	return keyer.Password(of)
}
