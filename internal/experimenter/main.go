package experimenter

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd := newRootCmd()
	cmd.SetArgs(args)
	if err := cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func newRootCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "marigold-bench",
		Short:         "Demonstrate, measure and test marigoldhub on one machine",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(newDemoCmd(), newRunCmd(), newMatrixCmd(), newBenchCmd(), newSlopesCmd())
	return cmd
}

// addBinFlag adds the folder that holds the programs.
func addBinFlag(cmd *cobra.Command, bin *string) {
	cmd.Flags().StringVar(bin, "bin", "bin", "folder that holds the programs")
}
