package tracker

import (
	"cmp"
	"slices"
)

// ImportAges takes the ages of replicas from a view of the previous monitor, so
// that replicas that are far behind have a known age as soon as this tracker
// knows the established term. It must be called before the first observation.
func (t *Tracker) ImportAges(v View) {
	var samples []sample
	for _, r := range v.Replicas {
		if !r.FreshAt.IsZero() {
			samples = append(samples, sample{at: r.FreshAt, offset: r.Log.Offset})
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.offset, b.offset) })
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range samples {
		t.history.add(s.at, s.offset)
	}
}
