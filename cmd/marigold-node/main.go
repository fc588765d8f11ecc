// Command marigold-node runs one entry instance on the prepared machines, with
// the platform's own protocols. Package noder implements it.
package main

import (
	"os"

	"marigoldhub.example/hub/internal/noder"
)

func main() { os.Exit(noder.Main(os.Args[1:])) }
