package promoter

import (
	"slices"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// Guards against a planned change that runs again when the monitor role moves
// and the target dies before the next monitor has observed it (seen in
// TestSwitchover of package overseer, 4 of 36 runs under load).
func TestDoneChanges(t *testing.T) {
	id := attemptID("i1", Plan{ID: "a", To: "s3"}, nil)
	seen := func(name string, role tracker.Role, term, logTerm uint64) tracker.Observation {
		return tracker.Observation{Server: name, SentAt: time.Now(), ReceivedAt: time.Now(), Status: tracker.Status{
			Server: name, Role: role, Term: term, Promoter: id, Log: tracker.Position{Term: logTerm, Offset: 5},
		}}
	}
	lost := tracker.Observation{Server: "s3", Failures: 1, Refused: true}
	for _, tc := range []struct {
		name    string
		servers []tracker.Observation
		want    []string
	}{
		{"fenced, but nobody has led the term", []tracker.Observation{seen("s1", tracker.RoleReplica, 2, 1), seen("s2", tracker.RoleReplica, 2, 1), lost}, nil},
		{"the target led and is unreachable", []tracker.Observation{seen("s1", tracker.RoleReplica, 2, 2), seen("s2", tracker.RoleReplica, 2, 2), lost}, []string{"a"}},
		{"another server leads", []tracker.Observation{seen("s1", tracker.RolePrimary, 2, 2), seen("s2", tracker.RoleReplica, 2, 2), lost}, nil},
		{"the target is reachable and does not lead", []tracker.Observation{seen("s1", tracker.RoleReplica, 2, 2), seen("s3", tracker.RoleReplica, 2, 2)}, nil},
	} {
		if got := CompletedChanges(tracker.State{Term: 1, Primary: "s1", Servers: tc.servers}); !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
