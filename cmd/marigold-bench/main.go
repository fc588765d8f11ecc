// Command marigold-bench runs demonstrations, measurements and the fault
// matrix against an installation that it starts on loopback addresses.
package main

import (
	"os"

	"marigoldhub.example/hub/internal/experimenter"
)

func main() { os.Exit(experimenter.Main(os.Args[1:])) }
