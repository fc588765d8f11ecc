package experimenter

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/deployer"
	"marigoldhub.example/hub/internal/measurer"
)

// benchLimit bounds all measurements.
const benchLimit = 5 * time.Minute

func newBenchCmd() *cobra.Command {
	var cfg measurer.Config
	var users []string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure the installations of both users against baselines",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plans, err := plansOf(users)
			if err != nil {
				return err
			}
			cfg.Users, cfg.W = plans, cmd.OutOrStdout()
			ctx, cancel := context.WithTimeout(cmd.Context(), benchLimit)
			defer cancel()
			return measurer.Run(ctx, cfg)
		},
	}
	addBinFlag(cmd, &cfg.Bin)
	cmd.Flags().StringVar(&cfg.Out, "out", "report", "folder for the report; empty writes none")
	cmd.Flags().BoolVar(&cfg.Keep, "keep", false, "keep logs and rows of the installations")
	cmd.Flags().StringSliceVar(&cfg.Only, "only", nil, "measurements to run (default all)")
	cmd.Flags().StringSliceVar(&users, "user", []string{"cooperative", "council"}, "users to measure")
	return cmd
}

func plansOf(users []string) ([]deployer.Plan, error) {
	var plans []deployer.Plan
	for _, name := range users {
		switch name {
		case "cooperative":
			plans = append(plans, deployer.Cooperative())
		case "council":
			plans = append(plans, deployer.Council())
		default:
			return nil, errors.Errorf("unknown user %q", name)
		}
	}
	return plans, nil
}
