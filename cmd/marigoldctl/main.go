// Command marigoldctl is the command line tool of operators: it proposes,
// approves and withdraws manifests and shows the state of instances and the
// store. Package steward implements it.
package main

import (
	"os"

	"marigoldhub.example/hub/internal/steward"
)

func main() { os.Exit(steward.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
