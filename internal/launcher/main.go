package launcher

import (
	"fmt"
	"os"
)

// Version is the version of the programs, set by the build.
var Version = "0.1.0-dev"

// Exit codes of marigold-entry.
const (
	exitOK = iota
	// exitFailed means that the settings file could not be read or the instance
	// could not start.
	exitFailed
	// exitUsage means an unknown command, or wrong flags or arguments.
	exitUsage
	// exitSettings means that the settings file has mistakes.
	exitSettings
)

// Main runs marigold-entry with the arguments and returns its exit code.
func Main(args []string) int {
	cmd := newRootCmd()
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitCode(err)
}
