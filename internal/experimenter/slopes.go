package experimenter

import (
	"os"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/sampler"
)

func newSlopesCmd() *cobra.Command {
	cfg := sampler.Config{}
	cmd := &cobra.Command{
		Use:   "slopes",
		Short: "Measure how costs grow with instances, groups, manifest parts and callers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := os.MkdirTemp("", "marigold-slopes-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			cfg.Dir, cfg.W = dir, cmd.OutOrStdout()
			return sampler.Run(cmd.Context(), cfg)
		},
	}
	addBinFlag(cmd, &cfg.Bin)
	cmd.Flags().StringVar(&cfg.Out, "out", "report", "folder of the report")
	cmd.Flags().StringSliceVar(&cfg.Only, "only", nil, "names of the measurements to run; all if empty")
	return cmd
}
