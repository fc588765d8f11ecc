package recorder

import (
	"cmp"
	"slices"
)

// Merge returns the events of several processes as one timeline: by Lamport
// time, then by wall time, then by instance.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Lamport, b.Lamport), a.Wall.Compare(b.Wall), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}
