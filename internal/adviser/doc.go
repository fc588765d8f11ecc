// Package adviser looks for entries of a manifest part that pass the checks of package
// checker and are probably not what the operators want: entries that no statement can
// match, and limits that contradict each other. It also says what a part changes against
// another one, by entry.
//
// A piece of advice never keeps a part from being proposed. It reads the part alone:
// neither the settings of the instances nor the state of the servers is known here.
package adviser
