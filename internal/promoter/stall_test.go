package promoter_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// countReason returns the number of detections with the reason.
func (m *monitor) countReason(reason string) int {
	n := 0
	for _, e := range m.recorder.Events() {
		if e.Kind == "detected" && e.Fields["reason"] == reason {
			n++
		}
	}
	return n
}

// Guards against a primary that is kept although no replica receives its
// records, against a promotion that chooses the same server again because its
// log is the longest, and against an old primary that keeps its unreplicated
// records.
func TestReplicationOfPrimaryCut(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	kept := mustConfirm(t, g, m, "s1")
	g.set("s1", func(s *fakeServer) { s.mute = true })
	lost, ok := g.write("s1", 3)
	if !ok {
		t.Fatal("primary refused a write")
	}
	cutAt := time.Now()
	s := m.awaitPrimary(t, 2, not("s1"))
	t.Logf("cut to established: %v", time.Since(cutAt))
	if m.countReason("replication_stalled") != 1 {
		t.Errorf("%d detections for stalled replication, want 1", m.countReason("replication_stalled"))
	}
	checkKept(t, g, s.Primary, kept)
	if proof, err := m.confirm(lost, time.Second); err != nil || !proof.Superseded || proof.Lineage.Contains(lost) {
		t.Errorf("unreplicated record %v: %+v, %v", lost, proof, err)
	}
	next := mustConfirm(t, g, m, s.Primary)
	eventually(t, "old primary follows and truncates", func() bool {
		old := g.get("s1")
		return old.role == tracker.RoleReplica && old.status().Log == next
	})
}

// Guards against the replacement of a primary whose replicas are far behind
// but advance.
func TestReplicasBehindButAdvancing(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	mustConfirm(t, g, m, "s1")
	if _, ok := g.write("s1", 20_000); !ok {
		t.Fatal("primary refused a write")
	}
	time.Sleep(3500 * time.Millisecond)
	s := m.tracker.State()
	if s.Confirmed.Offset >= 20_000 {
		t.Fatalf("replicas caught up with %v before the check", s.Confirmed)
	}
	if s.HighestTerm() != 1 {
		t.Errorf("term %d while replicas advance, want 1", s.HighestTerm())
	}
}

// Guards against a promotion that can only choose the same server again, because
// the other replica is dead.
func TestStalledWithoutMajorityOfReplicas(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	mustConfirm(t, g, m, "s1")
	g.set("s3", func(s *fakeServer) { s.dead = true })
	g.set("s1", func(s *fakeServer) { s.mute = true })
	g.write("s1", 1)
	time.Sleep(3 * time.Second)
	if term := m.tracker.State().HighestTerm(); term != 1 {
		t.Errorf("term %d, want 1", term)
	}
}

// Guards against a group that is promoted repeatedly because no primary's
// records reach another server.
func TestEveryPrimaryStalls(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	mustConfirm(t, g, m, "s1")
	for _, name := range []string{"s1", "s2", "s3"} {
		g.set(name, func(s *fakeServer) { s.mute = true })
	}
	g.write("s1", 1)
	time.Sleep(8 * time.Second)
	if term := m.tracker.State().HighestTerm(); term != 2 {
		t.Errorf("term %d, want 2 after one promotion", term)
	}
	for _, name := range []string{"s1", "s2", "s3"} {
		g.set(name, func(s *fakeServer) { s.mute = false })
	}
	s := m.awaitPrimary(t, 2, anyServer)
	mustConfirm(t, g, m, s.Primary)
}
