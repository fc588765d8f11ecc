package launcher

import (
	"fmt"
	"os"
)

// Version is the version of the programs, set by the build.
var Version = "0.1.0-dev"

// Exit codes of an entry instance.
const (
	exitOK = iota
	// exitFailed means that a part could not start or ended by itself.
	exitFailed
	// exitUsage means wrong flags or arguments.
	exitUsage
	// exitSettings means that the settings file has findings.
	exitSettings
)

// Main runs the command line of an entry instance and returns the exit code.
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
