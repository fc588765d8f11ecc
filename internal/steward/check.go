package steward

import (
	"github.com/spf13/cobra"
)

func newCheckCmd(*app) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check files of manifest parts without the store",
		Long: `Check files of manifest parts without the store.

All findings are printed as file:line:column: key: message.`,
		Example: "  marigoldctl check cooperative.toml council-unit.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: markCommandErrors(func(cmd *cobra.Command, files []string) error {
			return checkFiles(cmd, files)
		}),
	}
}
