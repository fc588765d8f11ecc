package noder

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"marigoldhub.example/hub/platform"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	// Those of check-config.
	exitWarnings = 1
	exitErrors   = 2
)

// exitError is an error that ends the program with the code.
type exitError struct {
	code int
	error
}

func (e exitError) Unwrap() error { return e.error }

// Main runs the program and returns its exit code.
func Main(args []string) int {
	cmd := newRootCommand()
	cmd.SetArgs(args)
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "marigold-node:", err)
		var e exitError
		if errors.As(err, &e) {
			return e.code
		}
		return exitFailed
	}
	return exitOK
}

func newRootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "marigold-node",
		Short:         "Run one entry instance on the prepared machines",
		Long:          "Run one entry instance on the prepared machines. The settings file is named by the platform.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run() },
	}
	cmd.AddCommand(newCheckCommand(), newCheckConfigCommand())
	return cmd
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings file and print all findings",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "settings of %s in %s are complete\n", s.Instance, s.Zone)
			return nil
		},
	}
}

func run() error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	n, err := New(settings, os.Stdout)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range signals {
		if s == syscall.SIGHUP {
			n.Reload()
			continue
		}
		n.Stop()
		break
	}
	<-n.Done()
	return nil
}
