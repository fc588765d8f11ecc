package resolver

import (
	"testing"

	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/tracker"
)

// Guards against NotRun or Done without a proof by the lineage: a wrong NotRun runs
// a request twice, a wrong Done loses it.
func TestResolve(t *testing.T) {
	pos := func(term, offset uint64) tracker.Position { return tracker.Position{Term: term, Offset: offset} }
	superseded := confirmer.Result{
		Outcome:  confirmer.Superseded,
		Position: pos(3, 70),
		Lineage:  tracker.Lineage{{Term: 1, Start: 0}, {Term: 3, Start: 57}},
	}
	cases := []struct {
		name   string
		commit Commit
		res    confirmer.Result
		want   Outcome
	}{
		{"confirmed", Commit{Upper: pos(1, 57)}, confirmer.Result{Outcome: confirmer.Confirmed}, Done},
		{"survives", Commit{Upper: pos(1, 57), Wrote: true}, superseded, Done},
		{"survives, no write proved", Commit{Upper: pos(1, 57)}, superseded, Unknown},
		{"read only", Commit{Upper: pos(1, 57), ReadOnly: true}, superseded, NotRun},
		{"truncated, lower bound at the end", Commit{Lower: pos(1, 57), Upper: pos(1, 58), Wrote: true}, superseded, NotRun},
		{"truncated, lower bound before the end", Commit{Lower: pos(1, 56), Upper: pos(1, 58), Wrote: true}, superseded, Unknown},
		{"truncated, no lower bound", Commit{Upper: pos(1, 58), Wrote: true}, superseded, Unknown},
		{"whole term truncated", Commit{Upper: pos(2, 60), Wrote: true}, superseded, NotRun},
		{"newer than the lineage", Commit{Upper: pos(4, 60), Wrote: true}, superseded, Unknown},
		{"no confirmation", Commit{Upper: pos(1, 5), Wrote: true}, confirmer.Result{}, Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.commit.Resolve(c.res); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
