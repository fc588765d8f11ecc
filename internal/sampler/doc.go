// Package sampler measures how the cost of entry instances grows with the
// number of instances, database groups, manifest parts and callers.
//
// Each measurement starts its own installation through package deployer and
// reads processor time and memory from /proc, bytes from standin-link and
// calls from the instances' metrics. A [Slope] is a least squares line through
// the measured points.
package sampler
