// Command marigold-entry runs one entry instance, which serves PostgreSQL
// connections. Package launcher implements it.
package main

import (
	"os"

	"marigoldhub.example/hub/internal/launcher"
)

func main() { os.Exit(launcher.Main(os.Args[1:])) }
