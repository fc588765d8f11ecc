package placer_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/tracker"
)

// Guards against reads that are sent to a replica which cannot have what they need (7,051
// tries on zemen-tiles-grown scale-1), and against reads that are kept off one which has.
func TestLacks(t *testing.T) {
	now := time.Now()
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	at := func(n uint64) tracker.Position { return tracker.Position{Term: 1, Offset: n} }
	for _, tc := range []struct {
		name     string
		progress placer.Progress
		floor    placer.Floor
		lacks    bool
		covers   time.Duration
	}{
		{"has the position", placer.Progress{Position: at(7), At: ago(200), PassedAt: ago(900)}, placer.Floor{Position: at(7), AvailableAt: ago(900)}, false, -200 * time.Millisecond},
		{"a floor of an earlier term", placer.Progress{Position: tracker.Position{Term: 2, Offset: 1}, At: ago(200)}, placer.Floor{Position: at(7), AvailableAt: ago(900)}, false, -200 * time.Millisecond},
		{"stands still for seconds", placer.Progress{Position: at(7), At: ago(200), PassedAt: ago(2200)}, placer.Floor{Position: at(9), AvailableAt: ago(2100)}, true, -100 * time.Millisecond},
		{"seconds behind a floor that is new", placer.Progress{Position: at(7), At: ago(200), PassedAt: ago(2200)}, placer.Floor{Position: at(90), AvailableAt: ago(100)}, true, 1900 * time.Millisecond},
		{"0.3 s behind, the floor came later", placer.Progress{Position: at(7), At: ago(300), PassedAt: ago(550)}, placer.Floor{Position: at(9), AvailableAt: ago(290)}, false, -40 * time.Millisecond},
		{"unknown lag, the floor came later", placer.Progress{Position: at(7), At: ago(300)}, placer.Floor{Position: at(9), AvailableAt: ago(290)}, false, -290 * time.Millisecond},
	} {
		if got := tc.progress.Lacks(tc.floor, now); got != tc.lacks {
			t.Errorf("%s: lacks %v, want %v", tc.name, got, tc.lacks)
		}
		if got := tc.progress.CoversAt(tc.floor).Sub(now); got != tc.covers {
			t.Errorf("%s: covers after %v, want %v", tc.name, got, tc.covers)
		}
	}
}

// Guards against reads for a replica that refuses them, and against a short wait at the
// primary, followed by a second try, when no other server has what the read needs.
func TestPlacesWhileReplicasAreBehind(t *testing.T) {
	ms := time.Millisecond
	near := placer.Candidate{SameZone: true, ViaGateway: true, Slots: 4, Latency: 15 * ms}
	far := placer.Candidate{ViaGateway: true, Slots: 4, Latency: 15 * ms}
	primary := placer.Candidate{Primary: true, ViaGateway: true, Slots: 4, Latency: 15 * ms}
	lacking := func(c placer.Candidate) placer.Candidate { c.Lacks = true; return c }
	for _, tc := range []struct {
		name       string
		candidates []placer.Candidate
		want       int
		spillWait  time.Duration
	}{
		{"none is behind", []placer.Candidate{near, far, primary}, 0, 50 * ms},
		{"the near one is behind", []placer.Candidate{lacking(near), far, primary}, 1, 50 * ms},
		{"both are behind", []placer.Candidate{lacking(near), lacking(far), primary}, 2, 0},
		{"both are behind, no primary", []placer.Candidate{lacking(near), lacking(far)}, -1, 0},
	} {
		got := placer.ChooseRead(tc.candidates, 400*ms, 0.5)
		if got != tc.want {
			t.Errorf("%s: chose %d, want %d", tc.name, got, tc.want)
			continue
		}
		if got < 0 {
			continue
		}
		if wait := placer.SpillWait(tc.candidates, got, 400*ms); wait != tc.spillWait {
			t.Errorf("%s: waits %v, want %v", tc.name, wait, tc.spillWait)
		}
	}
}
