// Package adviser looks for entries of a manifest part that pass the checks of package checker
// and are probably not what the operators want: entries that no statement can match, and limits
// that contradict each other. It also lists the differences between two states of a part, by
// entry.
//
// Advice never keeps a part from being proposed. It is derived from the manifest parts and a
// stated capacity alone; the settings of the instances and the state of the servers are not known
// here.
package adviser
