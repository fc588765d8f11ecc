// Command marigoldctl is the operators' tool.
package main

import (
	"os"

	"marigoldhub.example/hub/internal/steward"
)

func main() { os.Exit(steward.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
