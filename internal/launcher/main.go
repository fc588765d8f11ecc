package launcher

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Main runs the command line of an entry instance and returns the exit code.
func Main(args []string) int {
	cmd := newRootCmd()
	cmd.SetArgs(args)
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func newRootCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "marigold-entry",
		Short: "Run one entry instance of marigoldhub",
	}
}
