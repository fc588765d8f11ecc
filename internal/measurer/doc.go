// Package measurer measures an installation that package deployer starts, and
// compares it with baselines in the same run.
//
// A [Figure] is one measured value of one user. A figure may have an aim; a
// figure that misses its aim is printed as measured. Only figures that count
// broken promises, and a connection peak above the limit, make a run fail.
package measurer
