package replacer_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/informer"
)

// acknowledge commits at the server and proves the commit as an instance does before it
// tells its caller, under the leases that are granted now.
func (f *fixture) acknowledge(t *testing.T, server, id string) {
	t.Helper()
	asked := time.Now()
	for _, l := range f.replacer.GrantLeases() {
		if l.Next == "" {
			f.group.ExtendLease(l.Leader.Server.ID, l.Leader.Term, asked.Add(leaseTTL))
		}
	}
	if err := f.write(server, id); err != nil {
		t.Fatalf("commit: %v", err)
	}
	l, ok := f.group.Leader()
	if !ok || l.Server.ID != server {
		t.Fatalf("%s is not known to lead, but %+v", server, l)
	}
	if err := f.group.ConfirmCommit(l, f.Log(server), time.Now().Add(100*time.Millisecond)); err != nil {
		t.Fatalf("the commit is not proved: %v", err)
	}
}

// awaitLeases waits until primary leases are granted. The servers are established by the
// first one.
func (f *fixture) awaitLeases(t *testing.T) {
	t.Helper()
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	eventually(t, 5*time.Second, "leases are granted", func() bool { return len(f.replacer.GrantLeases()) > 0 })
	f.group.ExtendLease("a", 1, time.Now())
}

// keepsCommit checks for some seconds that no server leads without the commit.
func (f *fixture) keepsCommit(t *testing.T, id string) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if leader := f.Primary(); leader != "" && !slices.Contains(f.Holders(id), leader) {
			t.Fatalf("the acknowledged commit is lost; promoted: %v, it is in the logs of %v", f.Promotions(), f.Holders(id))
		}
	}
}

// drainEntry lists the server as draining.
func (f *fixture) drainEntry(t *testing.T, id string) {
	t.Helper()
	for _, srv := range f.Servers() {
		if srv.Draining = true; srv.ID == id {
			f.putServer(t, srv)
		}
	}
}

// Guards against two promotions in a row, the second without the commits after the first:
// a call of the last coordinator takes effect while one for another server is made.
func TestPromoteCallOfTheLastCoordinator(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	f.SetPromoteDelay(600 * time.Millisecond)
	f.election.mute.Store(true)
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	f.group.ExtendLease("a", 1, time.Now())
	time.Sleep(time.Second)
	// The last coordinator pauses the replica that is not promoted and asks for c.
	if err := f.command("b", exchanger.Statement{Kind: exchanger.Pause, Term: 2}); err != nil {
		t.Fatal(err)
	}
	f.Cluster.Promote(context.Background(), "", "c", "last", 2)
	time.Sleep(300 * time.Millisecond)
	f.election.mute.Store(false)
	eventually(t, 2*time.Second, "c leads", func() bool { return f.Primary() == "c" })
	f.SetReplicationCut("b", true)
	f.group.CheckLeader()
	eventually(t, 200*time.Millisecond, "c is known to lead", f.leads("c"))
	f.acknowledge(t, "c", "after the first call")
	f.keepsCommit(t, "after the first call")
}

// Guards against a call for another server while an earlier one, whose answer was lost, may
// take effect: 10 commits of seed 2178 of TestChangesOfServers. The old primary, whose log is
// longer, is needed because a replica has restarted, but it was out of reach at first.
func TestNoCallForAnotherServerWhileOneMayTakeEffect(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	f.SetPromoteDelay(600 * time.Millisecond)
	var first atomic.Value
	f.beforePromote = func(_ context.Context, id string) error {
		if !first.CompareAndSwap(nil, id) {
			return nil
		}
		f.Cluster.Promote(context.Background(), "", id, "", 3)
		f.SetDown("a", false)
		return errors.New("the answer was lost")
	}
	f.election.token.Store(3)
	f.awaitLeases(t)
	f.acknowledge(t, "a", "with both")
	f.SetReplicationCut("b", true)
	f.SetReplicationCut("c", true)
	if err := f.write("a", "not acknowledged"); err == nil {
		t.Fatal("the write was acknowledged")
	}
	f.SetDown("a", true)
	f.Restart("c", false)
	f.listServer(t, "c")
	eventually(t, 5*time.Second, "the first call takes effect", func() bool { return first.Load() != nil && f.Primary() == first.Load() })
	leader, other := "b", "c"
	if first.Load() == "c" {
		leader, other = "c", "b"
	}
	f.SetReplicationCut(other, false)
	f.SetReplicationCut("a", true)
	f.group.CheckLeader()
	eventually(t, time.Second, "the server of the call is known to lead", f.leads(leader))
	f.acknowledge(t, leader, "after the first call")
	f.keepsCommit(t, "after the first call")
}

// Guards against a call for another server while a second call for the present primary, which
// has stepped down, may take effect: 40 commits of seed 20152 of TestChangesOfServers.
func TestSecondCallForAPrimaryThatStepsDown(t *testing.T) {
	t.Parallel()
	f := newFixtureWith(t, fixtureOptions{servers: []string{"a", "b", "c", "d"}, known: pos(0), leaseTTL: leaseTTL, removeAfter: removeAfter})
	var calls atomic.Int64
	f.beforePromote = func(_ context.Context, id string) error {
		if calls.Add(1) > 1 {
			f.SetPromoteDelay(800 * time.Millisecond)
			return nil
		}
		f.Cluster.Promote(context.Background(), "", id, "", 3)
		return errors.New("the answer was lost")
	}
	f.SetPromoteDelay(200 * time.Millisecond)
	f.election.token.Store(3)
	f.awaitLeases(t)
	f.SetDown("a", true)
	eventually(t, 5*time.Second, "b leads", func() bool { return f.Primary() == "b" })
	// The switchover becomes a failover, as a cannot be paused.
	f.drainEntry(t, "b")
	eventually(t, 5*time.Second, "a later term than the first one of b", func() bool {
		f.group.CheckLeader()
		return f.group.Term() >= 3
	})
	leader, lacking := f.Primary(), "c"
	if leader == "c" {
		lacking = "d"
	}
	f.SetReplicationCut(lacking, true)
	f.acknowledge(t, leader, "after the second call")
	f.keepsCommit(t, "after the second call")
}

// Guards against a switchover for which no switchover leases can be granted, as the
// coordinator may not act yet or has not found its service settled: 2 commits of seed 2122 of
// TestChangesOfServers.
func TestNoSwitchoverBeforeLeasesCanBeGranted(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	var paused atomic.Int64
	f.OnStatement = func(_ string, s exchanger.Statement) {
		if s.Kind == exchanger.Pause {
			paused.Add(1)
		}
	}
	f.election.mute.Store(true)
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	f.drainEntry(t, "a")
	time.Sleep(time.Second)
	if n := paused.Load(); n > 0 {
		t.Errorf("%d replicas were paused before the coordinator may act", n)
	}
	f.election.mute.Store(false)
	eventually(t, 5*time.Second, "another server leads", f.changed)
}

// Guards against a primary lease while the call of the last coordinator's switchover may
// take effect: the replicas that it had paused have restarted and show no change.
func TestNoLeaseBeforeTheCallOfASwitchover(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	f.SetPromoteDelay(1500 * time.Millisecond)
	eventually(t, 5*time.Second, "a is known to lead", func() bool {
		f.group.CheckLeader()
		return f.leads("a")()
	})
	f.group.ExtendSwitchover("a", "c", 1, time.Now().Add(10*time.Millisecond))
	f.Cluster.Promote(context.Background(), "", "c", "last", 2)
	f.election.token.Store(3)
	for f.Primary() == "a" {
		if leases := f.replacer.GrantLeases(); len(leases) > 0 {
			t.Fatalf("granted before the call took effect: %+v", leases)
		}
		time.Sleep(5 * time.Millisecond)
	}
	eventually(t, 5*time.Second, "leases are granted for c", func() bool {
		leases := f.replacer.GrantLeases()
		return len(leases) > 0 && leases[0].Leader.Server.ID == "c"
	})
}

// Guards against a call for another server than the one for which the last coordinator asked
// shortly before its tenure ended: 78 commits of seed 20116 of TestChangesOfServers. The new
// coordinator prefers another server, as that one is draining now.
func TestOtherServerThanThatOfTheLastCoordinator(t *testing.T) {
	t.Parallel()
	f := newFixtureWith(t, fixtureOptions{servers: []string{"a", "b", "c", "d"}, known: pos(0), leaseTTL: leaseTTL, removeAfter: removeAfter})
	f.SetPromoteDelay(600 * time.Millisecond)
	eventually(t, 5*time.Second, "a is known to lead", func() bool {
		f.group.CheckLeader()
		return f.leads("a")()
	})
	f.group.ExtendLease("a", 1, time.Now())
	for _, id := range []string{"b", "c", "d"} {
		if err := f.command(id, exchanger.Statement{Kind: exchanger.Pause, Term: 2}); err != nil {
			t.Fatal(err)
		}
	}
	f.Cluster.Promote(context.Background(), "", "c", "last", 3)
	f.SetDown("a", true)
	f.drainEntry(t, "c")
	f.election.token.Store(4)
	eventually(t, 2*time.Second, "c leads", func() bool { return f.Primary() == "c" })
	f.SetReplicationCut("b", true)
	f.group.CheckLeader()
	eventually(t, time.Second, "c is known to lead", f.leads("c"))
	f.acknowledge(t, "c", "after the last coordinator's call")
	f.keepsCommit(t, "after the last coordinator's call")
}

// Guards against a call for another server than the one for which another coordinator asked
// between two tenures of this instance, which goes on with its call under the new token.
func TestRoleIsLostAndRegainedDuringACall(t *testing.T) {
	t.Parallel()
	f := newFixtureWith(t, fixtureOptions{servers: []string{"a", "b", "c", "d"}, known: pos(0), leaseTTL: leaseTTL, removeAfter: removeAfter})
	f.SetPromoteDelay(600 * time.Millisecond)
	var once sync.Once
	var other atomic.Value
	f.beforePromote = func(_ context.Context, id string) error {
		var err error
		once.Do(func() {
			if other.Store("c"); id == "c" {
				other.Store("b")
			}
			f.election.token.Store(0)
			f.Cluster.Promote(context.Background(), "", other.Load().(string), "other", 4)
			f.election.token.Store(5)
			err = errors.New("the call is given up with the tenure")
		})
		return err
	}
	f.election.token.Store(3)
	f.awaitLeases(t)
	f.acknowledge(t, "a", "with all")
	f.SetDown("a", true)
	eventually(t, 5*time.Second, "the other coordinator's call takes effect", func() bool { return other.Load() != nil && f.Primary() == other.Load() })
	leader, lacking := other.Load().(string), "b"
	if leader == "b" {
		lacking = "c"
	}
	f.SetReplicationCut(lacking, true)
	f.group.CheckLeader()
	eventually(t, time.Second, "it is known to lead", f.leads(leader))
	f.acknowledge(t, leader, "after the other coordinator's call")
	f.keepsCommit(t, "after the other coordinator's call")
}

// Guards against a call for another server after the call of a switchover, whose answer
// was lost and which takes effect.
func TestSwitchoverCallTakesEffectLate(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	f.SetPromoteDelay(300 * time.Millisecond)
	f.SetLog("c", pos(1))
	var once sync.Once
	f.beforePromote = func(_ context.Context, id string) error {
		var err error
		once.Do(func() {
			if id != "c" {
				t.Errorf("%s is the next primary", id)
			}
			f.Cluster.Promote(context.Background(), "", id, "", 3)
			err = errors.New("the answer was lost")
		})
		return err
	}
	// The switchover to c has begun when b is paused. Once the call was made, b is too busy
	// for one command.
	var busy atomic.Int32
	f.OnStatement = func(server string, s exchanger.Statement) {
		if server != "b" || s.Kind != exchanger.Pause {
			return
		}
		f.SetLog("b", pos(1))
		if len(f.Promotions()) == 1 {
			f.SetBusy("b", busy.Add(1) == 1)
		}
	}
	f.election.token.Store(3)
	f.awaitLeases(t)
	f.drainEntry(t, "a")
	eventually(t, 5*time.Second, "c leads", func() bool { return f.Primary() == "c" })
	f.SetReplicationCut("b", true)
	f.group.CheckLeader()
	eventually(t, 200*time.Millisecond, "c is known to lead", f.leads("c"))
	f.acknowledge(t, "c", "after the first call")
	f.keepsCommit(t, "after the first call")
}

// Guards against a primary that restarted empty under its ID being taken for one that
// stepped down: its log no longer has the commits that a missing replica has.
func TestPrimaryThatRestartedEmpty(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	f.election.token.Store(3)
	f.awaitLeases(t)
	f.SetReplicationCut("b", true)
	f.acknowledge(t, "a", "with c only")
	f.SetDown("c", true)
	if !f.RestartEmpty("a", nil) {
		t.Fatal("a has not restarted")
	}
	f.putServers(t)
	f.keepsCommit(t, "with c only")
	f.SetDown("c", false)
	eventually(t, 5*time.Second, "c leads", f.leads("c"))
}

// Guards against a call for a replica that restarted empty after its report, while the
// commands to other servers were under way: another server has its commits.
func TestReplicaThatRestartsEmptyAfterItsReport(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	var reported, restarted atomic.Bool
	f.OnStatement = func(server string, s exchanger.Statement) {
		switch {
		case s.Kind != exchanger.Pause:
		case server == "b":
			time.AfterFunc(20*time.Millisecond, func() { reported.Store(true) })
		case !restarted.Swap(true):
			eventually(t, time.Second, "b has reported", reported.Load)
			f.Restart("b", true)
		}
	}
	f.election.token.Store(3)
	f.awaitLeases(t)
	f.acknowledge(t, "a", "with both")
	f.SetDown("a", true)
	f.keepsCommit(t, "with both")
	eventually(t, 5*time.Second, "c leads", f.leads("c"))
}

// Guards against a call for an old primary that stepped down and restarted empty after its
// report, while the command to the replica that has its commits was unanswered.
func TestOldPrimaryThatRestartsEmptyAfterItsReport(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	var steppedDown atomic.Bool
	f.OnStatement = func(server string, s exchanger.Statement) {
		if s.Kind == exchanger.StepDown && !steppedDown.Swap(true) {
			time.AfterFunc(100*time.Millisecond, func() { f.Restart("a", true) })
		}
	}
	f.election.token.Store(3)
	f.awaitLeases(t)
	f.SetReplicationCut("b", true)
	f.acknowledge(t, "a", "with c only")
	f.setCut("c", true)
	f.setCut("a", true)
	eventually(t, 5*time.Second, "b is paused", func() bool { return f.isPaused("b") })
	f.setCut("a", false)
	eventually(t, 5*time.Second, "a steps down", steppedDown.Load)
	f.keepsCommit(t, "with c only")
	f.setCut("c", false)
	eventually(t, 5*time.Second, "c leads", f.leads("c"))
}

// Guards against a choice without the log of a replica that was read earlier in the failover
// and is gone, while the old primary, which has it too, is out of reach: 50 commits of seed
// 1283 of TestChangesOfServers. The new start may be listed before it answers.
func TestReplicaRestartsEmptyBetweenTwoChoices(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// isListed is true if the new start is listed at once and cannot be reached for a time.
		isListed bool
	}{{"answers before it is listed", false}, {"is listed before it answers", true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, pos(0))
			var once sync.Once
			f.beforePromote = func(_ context.Context, id string) error {
				var err error
				once.Do(func() {
					if id != "b" {
						t.Errorf("%s is chosen first", id)
					}
					f.Restart("b", true)
					if tc.isListed {
						f.setCut("b", true)
						f.listServer(t, "b")
						time.AfterFunc(1500*time.Millisecond, func() { f.setCut("b", false) })
					}
					err = errors.New("the call was lost")
				})
				return err
			}
			f.election.token.Store(3)
			f.awaitLeases(t)
			f.SetReplicationCut("c", true)
			f.acknowledge(t, "a", "with b only")
			f.SetDown("a", true)
			f.keepsCommit(t, "with b only")
			f.SetDown("a", false)
			eventually(t, 5*time.Second, "a leads", func() bool { return f.changed() && f.Primary() == "a" })
		})
	}
}

// isPaused reports whether the server reports a pause.
func (f *fixture) isPaused(id string) bool {
	for _, srv := range f.Servers() {
		if srv.ID != id {
			continue
		}
		r, err := f.Probe(srv, exchanger.Statement{Kind: exchanger.Status}, time.Now().Add(time.Second))
		return err == nil && r.PausedTerm != 0
	}
	return false
}

// Guards against a proof by a replica that joined after the fence, at an instance that
// lists no other replica: the paused one has left the list but not ended.
func TestCommitThatOnlyANewReplicaHas(t *testing.T) {
	t.Parallel()
	f := newFixtureWith(t, fixtureOptions{servers: []string{"a", "b"}, known: pos(0), leaseTTL: leaseTTL, removeAfter: removeAfter, listInterval: time.Minute})
	f.SetPromoteDelay(600 * time.Millisecond)
	f.election.token.Store(3)
	f.awaitLeases(t)
	time.Sleep(time.Second)
	f.setCut("a", true)
	eventually(t, 5*time.Second, "the platform is asked", func() bool { return len(f.Promotions()) > 0 })
	f.Join("d", "")
	servers := slices.DeleteFunc(f.Servers(), func(srv informer.Server) bool { return srv.ID == "b" })
	other := attester.NewGroup(attester.Config{
		Service: exchangertest.Service, Prober: &backends{Cluster: f.Cluster, answered: map[string]time.Time{}, failures: map[string]int{}},
		AskPeers: func() {}, Clock: clockwork.NewRealClock(), Log: discard(), Servers: func() []informer.Server { return servers },
	})
	l := attester.Leader{Server: servers[0], Term: 1}
	other.Learn(l, "test")
	if err := f.write("a", "with d only"); err != nil {
		t.Fatalf("commit: %v", err)
	}
	if err := other.ConfirmCommit(l, f.Log("a"), time.Now().Add(100*time.Millisecond)); err != nil {
		return
	}
	f.keepsCommit(t, "with d only")
}
