package registrar

import (
	"slices"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/storer"
)

// Guards against instances that run and are not listed after the store was restored from a copy,
// and against failed ones that stay listed.
func TestCarryOver(t *testing.T) {
	start := time.Unix(1000, 0)
	a1, a2, b := Instance{Name: "a", Incarnation: 1}, Instance{Name: "a", Incarnation: 2}, Instance{Name: "b"}
	type list struct {
		epoch  int64
		after  time.Duration
		listed []Instance
		want   []Instance
	}
	for _, tc := range []struct {
		name  string
		lists []list
	}{
		{"no restore", []list{{1, 0, []Instance{a1, b}, []Instance{a1, b}}, {1, time.Second, []Instance{b}, []Instance{b}}}},
		{"missing in the copy", []list{
			{1, 0, []Instance{a1, b}, []Instance{a1, b}},
			{2, time.Second, []Instance{b}, []Instance{a1, b}},
			{2, 3 * time.Second, []Instance{a1, b}, []Instance{a1, b}},
			{2, 4 * time.Second, []Instance{b}, []Instance{b}},
		}},
		{"failed", []list{
			{1, 0, []Instance{a1, b}, []Instance{a1, b}},
			{2, time.Second, []Instance{b}, []Instance{a1, b}},
			{2, time.Second + leaseTime, []Instance{b}, []Instance{b}},
		}},
		{"started again since the copy", []list{
			{1, 0, []Instance{a2}, []Instance{a2}},
			{2, time.Second, []Instance{a1}, []Instance{a2}},
			{2, 2 * time.Second, []Instance{a2}, []Instance{a2}},
		}},
		{"new since the restore", []list{{1, 0, []Instance{b}, []Instance{b}}, {2, time.Second, []Instance{a1, b}, []Instance{a1, b}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c carryOver
			var known []Instance
			for i, l := range tc.lists {
				now := start.Add(l.after)
				c.begin(storer.NewRevision(l.epoch, int64(i+1)), known, now)
				known = c.merge(l.listed, now)
				slices.SortFunc(known, func(x, y Instance) int { return int(x.Name[0]) - int(y.Name[0]) })
				if !slices.Equal(known, l.want) {
					t.Errorf("list %d: %v, want %v", i, known, l.want)
				}
			}
		})
	}
}
