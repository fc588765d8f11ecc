// Command marigold-entry runs one entry instance.
package main

import (
	"os"

	"marigoldhub.example/hub/internal/launcher"
)

func main() { os.Exit(launcher.Main(os.Args[1:])) }
