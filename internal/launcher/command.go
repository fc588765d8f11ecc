package launcher

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"marigoldhub.example/hub/internal/checker"
)

// runtimeError marks an error that is no mistake on the command line.
type runtimeError struct{ error }

func (f runtimeError) Unwrap() error { return f.error }

func exitCode(err error) int {
	var findings checker.Findings
	var failed runtimeError
	switch {
	case errors.As(err, &findings):
		return exitSettings
	case errors.As(err, &failed):
		return exitFailed
	default:
		return exitUsage
	}
}

func newRootCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "marigold-entry",
		Short: "Run one entry instance of marigoldhub",
		Long: "marigold-entry accepts PostgreSQL connections of callers and serves them from the\n" +
			"database groups that the manifests in force name. It keeps nothing on disk.",
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(newRunCmd(), newCheckCmd())
	return cmd
}

func newCheckCmd() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "check",
		Short:   "Check a settings file and print all findings",
		Example: "  marigold-entry check --settings entry.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := LoadSettings(file); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), file+": ok")
			return err
		},
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

func addSettingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "settings file in TOML")
	_ = cmd.MarkFlagRequired("settings")
	_ = cmd.MarkFlagFilename("settings", "toml")
}
