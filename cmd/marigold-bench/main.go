// Command marigold-bench runs the demonstration, the measurements and the fault
// matrix against a deployment that it starts on loopback addresses.
package main

import (
	"os"

	"marigoldhub.example/hub/internal/experimenter"
)

func main() { os.Exit(experimenter.Main(os.Args[1:])) }
