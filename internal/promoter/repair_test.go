package promoter_test

import (
	"fmt"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// Guards against a replica that stays behind for ever because it lost its
// replication connection and does not reconnect by itself.
func TestStuckReplicaIsToldAgain(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	mustConfirm(t, g, m, "s1")
	g.set("s3", func(s *fakeServer) { s.detached = true })
	last := mustConfirm(t, g, m, "s1")
	eventually(t, "stuck replica advances", func() bool { return g.get("s3").status().Log == last })
	if term := m.tracker.State().HighestTerm(); term != 1 {
		t.Errorf("term %d because one replica is stuck", term)
	}
}

// Guards against follow commands to a stuck replica more often than every 2 s,
// and against commands to replicas that are current.
func TestStuckReplicaIsToldRarely(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	mustConfirm(t, g, m, "s1")
	g.setSlow("s3", true)
	until := time.Now().Add(7 * time.Second)
	for time.Now().Before(until) {
		mustConfirm(t, g, m, "s1")
		time.Sleep(20 * time.Millisecond)
	}
	if n := g.get("s3").followed; n < 2 || n > 3 {
		t.Errorf("%d follow commands to the stuck replica in 7 s, want 2 or 3", n)
	}
	if n := g.get("s2").followed; n != 0 {
		t.Errorf("%d follow commands to a current replica", n)
	}
}

// Guards against a server that stays fenced because the promoter that fenced it
// died: it must follow within 2 s of an established term, whether the monitor
// observed the fence or started after it.
func TestFencedServerReturns(t *testing.T) {
	const limit = 2 * time.Second
	for _, term := range []uint64{0, 1, 2} {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("term %d takeover %v", term, takeover), func(t *testing.T) {
				g := newFakeGroup(t, 3, true)
				m := g.startMonitor(t, "i1", nil, nil)
				m.awaitPrimary(t, 1, anyServer)
				mustConfirm(t, g, m, "s1")
				g.set("s1", func(s *fakeServer) { s.dead = true })
				s := m.awaitPrimary(t, 2, not("s1"))
				if takeover {
					m.close()
				}
				g.set("s1", func(s *fakeServer) {
					s.dead, s.role, s.term, s.promoter, s.follows = false, tracker.RoleFenced, term, "dead", ""
				})
				if takeover {
					m = g.startMonitor(t, "i2", nil, nil)
					s = m.awaitPrimary(t, s.Term, not("s1"))
				}
				begin := time.Now()
				eventually(t, "fenced server follows", func() bool {
					old := g.get("s1")
					return old.role == tracker.RoleReplica && old.term == s.Term
				})
				t.Logf("followed after %v", time.Since(begin))
				if d := time.Since(begin); d > limit {
					t.Errorf("followed after %v, more than %v", d, limit)
				}
				if got := m.tracker.State().HighestTerm(); got != s.Term {
					t.Errorf("term became %d", got)
				}
			})
		}
	}
}
