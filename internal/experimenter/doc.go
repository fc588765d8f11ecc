// Package experimenter holds the experiments of marigold-bench: the
// demonstration, the measurements and the fault matrix.
//
// Every experiment starts its own installation through package deployer,
// drives it with package loader and judges histories with package examiner.
package experimenter
