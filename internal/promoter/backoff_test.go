package promoter

import (
	"fmt"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// stalledState returns a group whose primary has a record that no replica stores.
func stalledState(now time.Time) tracker.State {
	s := tracker.State{Term: 1, Primary: "s1", Confirmed: tracker.Position{Term: 1, Offset: 5}}
	for i := range 3 {
		st := tracker.Status{Role: tracker.RoleReplica, Term: 1, Log: s.Confirmed}
		if i == 0 {
			st.Role, st.Log.Offset = tracker.RolePrimary, 6
		}
		s.Servers = append(s.Servers, tracker.Observation{Server: fmt.Sprintf("s%d", i+1), Status: st, SentAt: now, ReceivedAt: now})
	}
	return s
}

// Guards against promotions that follow one another faster than after 10 s, 20 s
// and so on up to 5 min while replication stalls recur, and against a wait that
// stays long after a time without stalls.
func TestStallBackoff(t *testing.T) {
	var d detector
	begin := time.Unix(1000, 0)
	now := begin
	var at []time.Duration
	for ; now.Sub(begin) < 40*time.Minute; now = now.Add(checkInterval) {
		if d.check(stalledState(now), now) == reasonStalled {
			at = append(at, now.Sub(begin).Round(time.Second))
		}
	}
	want := []time.Duration{2, 12, 32, 72, 152, 312, 612, 912, 1212, 1512, 1812, 2112}
	if len(at) != len(want) {
		t.Fatalf("promotions at %v, want %v s", at, want)
	}
	for i := range want {
		if at[i] != want[i]*time.Second {
			t.Errorf("promotion %d at %v, want %d s", i, at[i], want[i])
		}
	}
	now = now.Add(15 * time.Minute)
	for range 2 {
		last := now
		for d.check(stalledState(now), now) == "" {
			now = now.Add(checkInterval)
		}
		t.Logf("next promotion after %v", now.Sub(last))
		if now.Sub(last) > stallBackoffMin {
			t.Errorf("next promotion after %v, more than %v", now.Sub(last), stallBackoffMin)
		}
	}
}

// Guards against a promotion after a pause of this process, during which it did
// not check for progress.
func TestPauseIsNoStall(t *testing.T) {
	var d detector
	now := time.Unix(1000, 0)
	d.check(stalledState(now), now)
	now = now.Add(time.Minute)
	if reason := d.check(stalledState(now), now); reason != "" {
		t.Errorf("promotion because of %s right after a pause", reason)
	}
}
