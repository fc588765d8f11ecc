package promoter_test

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/promoter"
	"marigoldhub.example/hub/internal/tracker"
)

func anyServer(string) bool { return true }

func not(name string) func(string) bool {
	return func(s string) bool { return s != name }
}

// mustConfirm writes a record on the primary and waits for its confirmation.
func mustConfirm(t *testing.T, g *fakeGroup, m *monitor, primary string) tracker.Position {
	t.Helper()
	p, ok := g.write(primary, 1)
	if !ok {
		t.Fatalf("%s does not accept writes", primary)
	}
	proof, err := m.confirm(p, 2*time.Second)
	if err != nil || proof.Superseded {
		t.Fatalf("confirm %v: %+v, %v", p, proof, err)
	}
	return p
}

// checkKept fails the test if the primary's log lacks the confirmed record p.
func checkKept(t *testing.T, g *fakeGroup, primary string, p tracker.Position) {
	t.Helper()
	log := g.get(primary).log
	if uint64(len(log)) < p.Offset || log[p.Offset-1] != p.Term {
		t.Errorf("confirmed position %v is not in the log of %s", p, primary)
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against a group that never gets its first primary, and against an
// unnecessary promotion when it has one.
func TestFirstStart(t *testing.T) {
	cases := []struct {
		name    string
		initial bool
		term    uint64
	}{
		{"no primary", false, 1},
		{"initial primary", true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newFakeGroup(t, 3, c.initial)
			m := g.startMonitor(t, "i1", nil, nil)
			s := m.awaitPrimary(t, 1, anyServer)
			if s.Term != c.term {
				t.Errorf("term %d, want %d", s.Term, c.term)
			}
			mustConfirm(t, g, m, s.Primary)
			time.Sleep(300 * time.Millisecond)
			if got := m.tracker.State().Term; got != c.term {
				t.Errorf("term became %d without a failure", got)
			}
		})
	}
}

// Guards against a failover that is slow or loses confirmed records, and against
// an old primary that keeps its unreplicated records when it returns.
func TestPrimaryKilledAndReturns(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	kept := mustConfirm(t, g, m, "s1")
	g.setSlow("s2", true)
	g.setSlow("s3", true)
	lost, _ := g.write("s1", 3)
	killedAt := time.Now()
	g.set("s1", func(s *fakeServer) { s.dead = true })
	g.setSlow("s2", false)
	g.setSlow("s3", false)
	s := m.awaitPrimary(t, 2, not("s1"))
	t.Logf("killed to established: %v", time.Since(killedAt))
	checkKept(t, g, s.Primary, kept)
	proof, err := m.confirm(lost, time.Second)
	if err != nil || !proof.Superseded || proof.Lineage.Contains(lost) {
		t.Errorf("unreplicated record %v: %+v, %v", lost, proof, err)
	}
	g.set("s1", func(s *fakeServer) { s.dead = false })
	next := mustConfirm(t, g, m, s.Primary)
	eventually(t, "old primary follows and truncates", func() bool {
		old := g.get("s1")
		return old.role == tracker.RoleReplica && old.status().Log == next
	})
}

// Guards against an isolated primary whose writes are confirmed although it
// was replaced.
func TestPrimaryIsolated(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	kept := mustConfirm(t, g, m, "s1")
	cutAt := time.Now()
	g.set("s1", func(s *fakeServer) { s.cut = true })
	lost, ok := g.write("s1", 1)
	if !ok {
		t.Fatal("isolated primary refused a write")
	}
	s := m.awaitPrimary(t, 2, not("s1"))
	t.Logf("cut to established: %v", time.Since(cutAt))
	checkKept(t, g, s.Primary, kept)
	if proof, err := m.confirm(lost, time.Second); err != nil || !proof.Superseded || proof.Lineage.Contains(lost) {
		t.Errorf("write of isolated primary: %+v, %v", proof, err)
	}
	g.set("s1", func(s *fakeServer) { s.cut = false })
	eventually(t, "old primary follows", func() bool { return g.get("s1").role == tracker.RoleReplica })
}

// Guards against two promoters that establish two primaries in one term or
// prevent each other's promotions for ever.
func TestTwoPromoters(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m1 := g.startMonitor(t, "i1", nil, nil)
	m2 := g.startMonitor(t, "i2", nil, nil)
	m1.awaitPrimary(t, 1, anyServer)
	m2.awaitPrimary(t, 1, anyServer)
	kept := mustConfirm(t, g, m1, "s1")
	g.set("s1", func(s *fakeServer) { s.dead = true })
	var s1, s2 tracker.State
	eventually(t, "both monitors agree", func() bool {
		s1, s2 = m1.tracker.State(), m2.tracker.State()
		return s1.Term > 1 && s1.Term == s2.Term && s1.Primary == s2.Primary && s1.HighestTerm() == s1.Term
	})
	checkKept(t, g, s1.Primary, kept)
	mustConfirm(t, g, m2, s2.Primary)
}

// dyingCommander returns errors from the first command of the given step on, as
// if the promoter died then. Fences still reach the server if the step is fence.
type dyingCommander struct {
	promoter.Commander
	monitor *monitor
	step    string
	dead    *atomic.Bool
}

var errDead = errors.New("promoter is dead")

func (d *dyingCommander) after(step string, s tracker.Status, err error) (tracker.Status, error) {
	if step == d.step {
		d.dead.Store(true)
	}
	if d.dead.Load() {
		return tracker.Status{}, errDead
	}
	return s, err
}

func (d *dyingCommander) Fence(ctx context.Context, term uint64, id string) (tracker.Status, error) {
	if d.dead.Load() && d.step != "fence" {
		return tracker.Status{}, errDead
	}
	s, err := d.Commander.Fence(ctx, term, id)
	return d.after("fence", s, err)
}

func (d *dyingCommander) Promote(ctx context.Context, term uint64, id string) (tracker.Status, error) {
	if d.dead.Load() {
		return tracker.Status{}, errDead
	}
	s, err := d.Commander.Promote(ctx, term, id)
	return d.after("promote", s, err)
}

func (d *dyingCommander) Follow(ctx context.Context, term uint64, primary, address string) (tracker.Status, error) {
	if d.dead.Load() {
		return tracker.Status{}, errDead
	}
	s, err := d.Commander.Follow(ctx, term, primary, address)
	return d.after("follow", s, err)
}

// Guards against a group that stays without a primary when its promoter dies
// during a promotion.
func TestPromoterDies(t *testing.T) {
	for _, step := range []string{"fence", "promote", "follow"} {
		t.Run("after "+step, func(t *testing.T) {
			g := newFakeGroup(t, 3, true)
			dead := &atomic.Bool{}
			wrap := func(m *monitor, c promoter.Commander) promoter.Commander {
				return &dyingCommander{Commander: c, monitor: m, step: step, dead: dead}
			}
			first := g.startMonitor(t, "i1", nil, wrap)
			first.awaitPrimary(t, 1, anyServer)
			kept := mustConfirm(t, g, first, "s1")
			g.set("s1", func(s *fakeServer) { s.dead = true })
			eventually(t, "promoter died", dead.Load)
			first.close()
			diedAt := time.Now()
			second := g.startMonitor(t, "i2", nil, nil)
			s := second.awaitPrimary(t, 2, not("s1"))
			t.Logf("second promoter started to established: %v", time.Since(diedAt))
			checkKept(t, g, s.Primary, kept)
			mustConfirm(t, g, second, s.Primary)
		})
	}
}

// Guards against a promotion that is given up when the chosen server dies during
// it.
func TestPromotedServerDies(t *testing.T) {
	g := newFakeGroup(t, 5, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	kept := mustConfirm(t, g, m, "s1")
	for _, name := range []string{"s2", "s3"} {
		g.set(name, func(s *fakeServer) { s.diesOnPromote = true })
	}
	g.setSlow("s4", true)
	g.setSlow("s5", true)
	p, _ := g.write("s1", 1)
	eventually(t, "record on s2 and s3", func() bool {
		return g.get("s2").status().Log == p && g.get("s3").status().Log == p
	})
	g.set("s1", func(s *fakeServer) { s.dead = true })
	eventually(t, "promoted server died", func() bool { return g.get("s2").dead || g.get("s3").dead })
	// One more loss would leave two of five servers.
	for _, name := range []string{"s2", "s3"} {
		g.set(name, func(s *fakeServer) { s.diesOnPromote = false })
	}
	g.setSlow("s4", false)
	g.setSlow("s5", false)
	s := m.awaitPrimary(t, 3, not("s1"))
	checkKept(t, g, s.Primary, kept)
	checkKept(t, g, s.Primary, p)
}

// Guards against a promoter that replaces a promoted server repeatedly because
// the other servers need time to catch up.
func TestSlowReplicas(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	g.setSlow("s3", true)
	kept := mustConfirm(t, g, m, "s1")
	g.set("s1", func(s *fakeServer) { s.dead = true })
	time.Sleep(2500 * time.Millisecond)
	if term := m.tracker.State().HighestTerm(); term != 2 {
		t.Errorf("term %d while a replica catches up, want 2", term)
	}
	g.setSlow("s3", false)
	s := m.awaitPrimary(t, 2, not("s1"))
	checkKept(t, g, s.Primary, kept)
	eventually(t, "established event is recorded", func() bool { return m.countSteps("established") == 1 })
}

// Guards against a promotion by a minority, and against a group that does not
// recover when the majority returns.
func TestOneServerAlreadyDead(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	m.awaitPrimary(t, 1, anyServer)
	g.set("s3", func(s *fakeServer) { s.dead = true })
	kept := mustConfirm(t, g, m, "s1")
	g.set("s1", func(s *fakeServer) { s.dead = true })
	time.Sleep(time.Second)
	if s := g.get("s2"); s.term != 1 || s.role != tracker.RoleReplica {
		t.Errorf("minority server is %s in term %d", s.role, s.term)
	}
	g.set("s3", func(s *fakeServer) { s.dead = false })
	s := m.awaitPrimary(t, 2, not("s1"))
	if s.Primary != "s2" {
		t.Errorf("%s was chosen, whose log is behind", s.Primary)
	}
	checkKept(t, g, s.Primary, kept)
}

// Guards against a monitor that resumes after a pause with an outdated state and
// disturbs the new primary.
func TestFrozenMonitor(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	freeze := make(chan struct{})
	wrap := func(_ *monitor, c promoter.Commander) promoter.Commander {
		return &frozenCommander{Commander: c, freeze: freeze}
	}
	frozen := g.startMonitor(t, "i1", nil, wrap)
	frozen.awaitPrimary(t, 1, anyServer)
	g.set("s1", func(s *fakeServer) { s.dead = true })
	second := g.startMonitor(t, "i2", nil, nil)
	s := second.awaitPrimary(t, 2, not("s1"))
	kept := mustConfirm(t, g, second, s.Primary)
	close(freeze)
	time.Sleep(500 * time.Millisecond)
	s = second.awaitPrimary(t, s.Term, not("s1"))
	checkKept(t, g, s.Primary, kept)
	mustConfirm(t, g, second, s.Primary)
	resumed := frozen.tracker.State()
	if resumed.Term != s.Term || resumed.Primary != s.Primary {
		t.Errorf("resumed monitor knows %s in term %d, want %s in term %d", resumed.Primary, resumed.Term, s.Primary, s.Term)
	}
}

// frozenCommander delays fence commands until freeze is closed.
type frozenCommander struct {
	promoter.Commander
	freeze chan struct{}
}

func (f *frozenCommander) Fence(_ context.Context, term uint64, id string) (tracker.Status, error) {
	<-f.freeze
	return f.Commander.Fence(context.Background(), term, id)
}

// fakePlanner wants one change, to the server to.
type fakePlanner struct {
	to      string
	holds   atomic.Int32
	done    atomic.Bool
	busy    atomic.Bool
	heldAt  atomic.Pointer[time.Time]
	heldFor atomic.Int64
}

func (p *fakePlanner) Next(tracker.State) (promoter.Plan, bool) {
	return promoter.Plan{ID: "a", To: p.to}, !p.done.Load()
}

func (p *fakePlanner) PauseWork(uint64) {
	now := time.Now()
	p.heldAt.Store(&now)
	p.holds.Add(1)
}

func (p *fakePlanner) IsIdle() bool { return !p.busy.Load() }

func (p *fakePlanner) ResumeWork() { p.heldFor.Store(int64(time.Since(*p.heldAt.Load()))) }

func (p *fakePlanner) Complete(promoter.Plan) { p.done.Store(true) }

func (p *fakePlanner) CompletedIDs(tracker.State) []string { return nil }

func (p *fakePlanner) IsAvoided(string) bool { return false }

// Guards against a planned change that aborts open transactions, pauses work for
// longer than 200 ms, or chooses another server.
func TestPlannedChange(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	planner := &fakePlanner{to: "s3"}
	planner.busy.Store(true)
	m := g.startMonitor(t, "i1", planner, nil)
	m.awaitPrimary(t, 1, anyServer)
	kept := mustConfirm(t, g, m, "s1")
	eventually(t, "first attempt has ended", func() bool { return m.countSteps("cancelled") > 0 })
	if term := m.tracker.State().HighestTerm(); term != 1 {
		t.Fatalf("term %d although a transaction is open", term)
	}
	planner.busy.Store(false)
	eventually(t, "change has taken effect", planner.done.Load)
	s := m.awaitPrimary(t, 2, anyServer)
	if s.Primary != "s3" {
		t.Errorf("primary is %s, want s3", s.Primary)
	}
	checkKept(t, g, "s3", kept)
	held := time.Duration(planner.heldFor.Load())
	t.Logf("new work was paused for %v", held)
	if held > 200*time.Millisecond {
		t.Errorf("new work was paused for %v", held)
	}
}

// Measures the time from a kill to the established new primary over repeated
// kills, and the probes that a monitor sends when nothing waits for a status.
func TestFailoverTimes(t *testing.T) {
	g := newFakeGroup(t, 3, true)
	m := g.startMonitor(t, "i1", nil, nil)
	s := m.awaitPrimary(t, 1, anyServer)
	var times []time.Duration
	for range 10 {
		old := s.Primary
		killedAt := time.Now()
		g.set(old, func(s *fakeServer) { s.dead = true })
		s = m.awaitPrimary(t, s.Term+1, not(old))
		times = append(times, time.Since(killedAt))
		g.set(old, func(s *fakeServer) { s.dead = false })
		end := mustConfirm(t, g, m, s.Primary)
		eventually(t, "killed server caught up", func() bool { return g.get(old).status().Log == end })
	}
	slices.Sort(times)
	t.Logf("killed to established: p50 %v, max %v", times[len(times)/2], times[len(times)-1])
	if limit := 2 * time.Second; times[len(times)-1] > limit {
		t.Errorf("slowest failover took %v, more than %v", times[len(times)-1], limit)
	}
	before := m.probers[0].Probes()
	time.Sleep(time.Second)
	n := m.probers[0].Probes() - before
	t.Logf("%d probes in one idle second", n)
	if n > 12 {
		t.Errorf("%d probes in one idle second, want about 10", n)
	}
}
