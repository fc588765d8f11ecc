package replacer_test

import (
	"context"
	"errors"
	"os"
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
	"marigoldhub.example/hub/internal/informer/informertest"
)

// Guards against a failover that prefers a draining server for which nobody asked, because
// the failover itself has paused the others before.
func TestFailoverIsNotTakenForASwitchover(t *testing.T) {
	t.Parallel()
	for _, d := range []time.Duration{1400, 1500, 1600, 1700, 1800, 1900, 2000, 2100, 2200, 2300, 2400} {
		t.Run((d * time.Millisecond).String(), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, pos(0))
			f.election.token.Store(3)
			eventually(t, 5*time.Second, "a leads", f.leads("a"))
			f.draining["c"] = true
			f.listServer(t, "c")
			time.Sleep(200 * time.Millisecond)
			f.setCut("c", true)
			f.SetDown("a", true)
			time.Sleep(d * time.Millisecond)
			f.setCut("c", false)
			eventually(t, 5*time.Second, "a replica leads", f.changed)
			if p := f.Promotions(); p[0] != "b" {
				t.Errorf("%v promoted, want b: c is draining and its log is not longer", p)
			}
		})
	}
}

// Guards against a draining server that counts as ended because this instance alone cannot
// reach it.
func TestUnlistedDrainingReplicaOutOfReach(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	f.SetReplicationCut("b", true)
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	f.draining["c"] = true
	f.listServer(t, "c")
	time.Sleep(200 * time.Millisecond)
	f.store.Delete("backend/c")
	time.Sleep(3 * removeAfter)
	if err := f.write("a", "with c"); err != nil {
		t.Fatal(err)
	}
	f.setCut("a", true)
	f.setCut("c", true)
	time.Sleep(2 * time.Second)
	if p := f.Promotions(); len(p) > 0 {
		t.Errorf("%v promoted; %v lost", p, f.lost([]string{"with c"}))
	}
}

// Guards against a primary that the coordinator takes for healthy although no instance
// sends it anything, because its entry is missing.
func TestUnlistedPrimaryIsReplaced(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	time.Sleep(200 * time.Millisecond)
	f.store.Delete("backend/a")
	eventually(t, 8*time.Second, "another server leads", f.changed)
}

// Guards against a primary lease that delays the replacement of a primary that is not
// listed, between two attempts.
func TestUnlistedPrimaryGetsNoLease(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	var attempts atomic.Int64
	f.beforePromote = func(context.Context, string) error {
		attempts.Add(1)
		return errors.New("the call was lost")
	}
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "leases are granted", func() bool { return len(f.replacer.GrantLeases()) > 0 })
	f.store.Delete("backend/a")
	isListed := func() bool {
		_, ok := f.informer.State().Server(exchangertest.Service, "a")
		return ok
	}
	eventually(t, 5*time.Second, "a is not listed", func() bool { return !isListed() })
	eventually(t, 30*time.Second, "two attempts to replace a, without a lease", func() bool {
		// a answers all the time, as the pings of other instances would show.
		f.mu.Lock()
		f.answered["a"], f.failures["a"] = time.Now(), 0
		f.mu.Unlock()
		if leases := f.replacer.GrantLeases(); len(leases) > 0 {
			t.Fatalf("%v granted", leases)
		}
		return attempts.Load() >= 2
	})
}

// Guards against a replica that receives nothing for the rest of a tenure: it was paused
// while it was not listed.
func TestUnlistedReplicaIsResumed(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	f.SetPauseKept("c", true)
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	time.Sleep(200 * time.Millisecond)
	f.store.Delete("backend/c")
	time.Sleep(3 * removeAfter)
	f.SetDown("a", true)
	eventually(t, 5*time.Second, "b leads", f.leads("b"))
	f.listServer(t, "c")
	f.SetDown("a", false)
	f.CatchUp()
	isPaused := func() bool {
		for _, r := range f.group.Survey() {
			if r.Server.ID == "c" && r.Report.PausedTerm == 0 {
				return false
			}
		}
		return true
	}
	eventually(t, 5*time.Second, "c is not paused any more", func() bool { return !isPaused() })
}

// Guards against a choice without a server that joined during the failover, was paused,
// and whose entry is missing since.
func TestServerThatJoinedDuringTheFailoverStillCounts(t *testing.T) {
	t.Parallel()
	f := newFixtureWith(t, fixtureOptions{
		servers: []string{"a", "b", "c", "d"}, unlisted: []string{"d"}, known: pos(0), leaseTTL: leaseTTL, removeAfter: removeAfter,
	})
	f.SetReplicationCut("b", true)
	f.SetReplicationCut("c", true)
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	time.Sleep(200 * time.Millisecond)
	if err := f.write("a", "with d"); err != nil {
		t.Fatal(err)
	}
	f.setCut("c", true)
	f.SetDown("a", true)
	time.Sleep(1500 * time.Millisecond)
	f.listServer(t, "d")
	time.Sleep(1500 * time.Millisecond)
	f.store.Delete("backend/d")
	time.Sleep(1500 * time.Millisecond)
	f.setCut("c", false)
	time.Sleep(2 * time.Second)
	if p := f.Promotions(); len(p) > 0 {
		t.Errorf("%v promoted without d, which runs and has an acknowledged commit alone", p)
	}
}

// Guards against a choice that does not count a restart which was seen during the failover:
// the old primary alone has the commits of the replica that restarted.
func TestRestartDuringTheFailover(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	f.SetReplicationCut("b", true)
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	time.Sleep(200 * time.Millisecond)
	if err := f.write("a", "with c"); err != nil {
		t.Fatal(err)
	}
	f.setCut("a", true)
	f.setCut("b", true)
	time.Sleep(1200 * time.Millisecond)
	f.Restart("c", true)
	f.listServer(t, "c")
	time.Sleep(300 * time.Millisecond)
	f.setCut("a", false)
	f.setCut("b", false)
	eventually(t, 5*time.Second, "a server leads", f.changed)
	if lost := f.lost([]string{"with c"}); len(lost) > 0 {
		t.Errorf("%v is lost; promoted: %v", lost, f.Promotions())
	}
}

// Guards against a choice by the logs of the replicas when the report of one shows that it
// restarted empty, before its new start is listed: the old primary alone has its commits.
func TestRestartDuringTheFailoverBeforeItIsListed(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	f.SetReplicationCut("b", true)
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	time.Sleep(200 * time.Millisecond)
	if err := f.write("a", "with c"); err != nil {
		t.Fatal(err)
	}
	f.setCut("a", true)
	f.setCut("b", true)
	time.Sleep(1200 * time.Millisecond)
	f.Restart("c", true)
	f.setCut("a", false)
	f.setCut("b", false)
	eventually(t, 5*time.Second, "a server leads", f.changed)
	if lost := f.lost([]string{"with c"}); len(lost) > 0 {
		t.Errorf("%v is lost; promoted: %v", lost, f.Promotions())
	}
}

// Guards against a second departure that makes the first one forgotten: the primary alone
// has the commits of the server that left.
func TestSecondDepartureKeepsTheFirst(t *testing.T) {
	t.Parallel()
	f := newFixtureWith(t, fixtureOptions{
		servers: []string{"a", "b", "c", "d"}, known: pos(0), leaseTTL: leaseTTL, removeAfter: removeAfter,
	})
	f.SetReplicationCut("b", true)
	f.SetReplicationCut("c", true)
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	f.draining["d"] = true
	f.listServer(t, "d")
	time.Sleep(200 * time.Millisecond)
	if err := f.write("a", "with d"); err != nil {
		t.Fatal(err)
	}
	f.Remove("d")
	f.store.Delete("backend/d")
	time.Sleep(time.Second)
	f.SetDown("a", true)
	f.Restart("b", false)
	f.listServer(t, "b")
	time.Sleep(2 * time.Second)
	if p := f.Promotions(); len(p) > 0 {
		t.Errorf("%v promoted; %v lost", p, f.lost([]string{"with d"}))
	}
	f.SetDown("a", false)
	eventually(t, 5*time.Second, "a leads again", f.changed)
	if lost := f.lost([]string{"with d"}); len(lost) > 0 {
		t.Errorf("%v lost; promoted: %v", lost, f.Promotions())
	}
}

// Guards against a stalled primary that is promoted again and again, because a server has
// left a short time ago: its log has commits that no replica receives.
func TestStalledPrimaryIsReplacedAfterAServerHasLeft(t *testing.T) {
	t.Parallel()
	f := newFixtureWith(t, fixtureOptions{
		servers: []string{"a", "b", "c", "d"}, known: pos(0), leaseTTL: leaseTTL, removeAfter: removeAfter,
	})
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	time.Sleep(200 * time.Millisecond)
	f.draining["d"] = true
	f.listServer(t, "d")
	time.Sleep(300 * time.Millisecond)
	f.Remove("d")
	f.store.Delete("backend/d")
	time.Sleep(500 * time.Millisecond)
	f.SetReplicationCut("b", true)
	f.SetReplicationCut("c", true)
	if err := f.write("a", "not acknowledged"); err == nil {
		t.Fatal("the write was acknowledged")
	}
	f.setPending(time.Now())
	time.Sleep(6 * time.Second)
	p := f.Promotions()
	if !slices.ContainsFunc(p, func(id string) bool { return id != "a" }) {
		t.Errorf("promoted within 6 s: %v, want b or c: nothing that is acknowledged is missing there", p)
	}
}

// Guards against a stalled primary that is promoted again and again, because the log of a
// server that left long ago is missing in the next choice and counts as one that is lost now.
func TestStalledPrimaryIsReplacedLongAfterAServerHasLeft(t *testing.T) {
	t.Parallel()
	// The departure itself counts for 30 s.
	const retention = 32 * time.Second
	f := newFixtureWith(t, fixtureOptions{
		servers: []string{"a", "b", "c", "d", "e"}, known: pos(0), leaseTTL: leaseTTL, removeAfter: removeAfter,
	})
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	f.acknowledge(t, "a", "first")
	// The change after this failure records the logs of the other servers.
	f.SetDown("a", true)
	eventually(t, 5*time.Second, "another server leads", func() bool { return f.changed() && f.Primary() != "a" })
	f.Remove("a")
	f.store.Delete("backend/a")
	second, gone := f.Primary(), "d"
	if second == gone {
		gone = "c"
	}
	time.Sleep(500 * time.Millisecond)
	f.drainEntry(t, gone)
	time.Sleep(300 * time.Millisecond)
	f.Remove(gone)
	f.store.Delete("backend/" + gone)
	time.Sleep(retention)
	for _, id := range []string{"b", "c", "d", "e"} {
		if id != second && id != gone {
			f.SetReplicationCut(id, true)
		}
	}
	before := len(f.Promotions())
	if err := f.write(second, "not acknowledged"); err == nil {
		t.Fatal("the write was acknowledged")
	}
	f.setPending(time.Now())
	time.Sleep(6 * time.Second)
	p := f.Promotions()[before:]
	if !slices.ContainsFunc(p, func(id string) bool { return id != second }) {
		t.Errorf("promoted within 6 s: %v, want another than %s: nothing that is acknowledged is missing there", p, second)
	}
}

// Guards against a failover that waits for a lost log twice as long as its server may run, 61 s
// instead of 31 s: neither the old primary nor the replica comes back.
func TestLostLogIsNeededOnce(t *testing.T) {
	t.Parallel()
	f := newFixture(t, pos(0))
	var once sync.Once
	f.beforePromote = func(_ context.Context, id string) error {
		var err error
		once.Do(func() {
			if id != "b" {
				t.Errorf("%s is chosen first", id)
			}
			f.RemoveServer("b")
			f.store.Delete("backend/b")
			err = errors.New("the call was lost")
		})
		return err
	}
	f.election.token.Store(3)
	f.awaitLeases(t)
	f.SetReplicationCut("c", true)
	f.acknowledge(t, "a", "with b only")
	f.RemoveServer("a")
	f.store.Delete("backend/a")
	eventually(t, 45*time.Second, "c leads", func() bool { return f.Primary() == "c" })
}

// setPending makes a write unanswered since the time.
func (f *fixture) setPending(since time.Time) {
	f.backends.mu.Lock()
	defer f.backends.mu.Unlock()
	f.pending = since
}

// cutProber reaches the cluster except some servers, as another instance may.
type cutProber struct {
	*exchangertest.Cluster
	cut map[string]bool
}

func (p cutProber) Probe(srv informer.Server, s exchanger.Statement, deadline time.Time) (exchanger.Report, error) {
	if p.cut[srv.ID] {
		time.Sleep(time.Until(deadline))
		return exchanger.Report{}, os.ErrDeadlineExceeded
	}
	conn, err := p.Dial(srv.Target(), deadline)
	if err != nil {
		return exchanger.Report{}, err
	}
	answers, err := conn.Exchange(deadline, s)
	if err != nil {
		return exchanger.Report{}, err
	}
	return *answers[0].Report, nil
}

// newOtherGroup returns the group of another instance that does not reach some servers.
func (f *fixture) newOtherGroup(t *testing.T, cut ...string) (*attester.Group, *informer.Informer) {
	t.Helper()
	log := discard()
	clock := clockwork.NewRealClock()
	inf := informer.New(informer.Config{
		Store: f.store, Clock: clock, Log: log, Schema: informertest.Schema(),
		ListInterval: func() time.Duration { return 10 * time.Millisecond }, LinearizableEvery: func() int { return 1 }, RemoveAfter: removeAfter,
		CheckInterval: func() time.Duration { return time.Hour }, OnChange: func() {},
	})
	t.Cleanup(inf.Close)
	p := cutProber{f.Cluster, map[string]bool{}}
	for _, id := range cut {
		p.cut[id] = true
	}
	return attester.NewGroup(attester.Config{
		Service: exchangertest.Service, Prober: p, AskPeers: func() {}, Clock: clock, Log: log,
		Servers: func() []informer.Server { return inf.State().ServersOf(exchangertest.Service) },
	}), inf
}

// Guards against a commit that another instance takes for proved by a replica which is
// established by the time of its start, though it was listed only after the coordinator
// had listed the servers for its change. The instance, the old primary and that replica
// are cut off from the coordinator and the other replicas.
func TestCommitWithAReplicaListedDuringTheChange(t *testing.T) {
	t.Parallel()
	f := newFixtureWith(t, fixtureOptions{
		servers: []string{"a", "b", "c", "d"}, unlisted: []string{"d"}, known: pos(0), leaseTTL: leaseTTL, removeAfter: removeAfter,
		listInterval: 8 * time.Second,
	})
	var refuse atomic.Bool
	var calls atomic.Int64
	refuse.Store(true)
	f.beforePromote = func(context.Context, string) error {
		if calls.Add(1); refuse.Load() {
			return errors.New("the platform does not answer")
		}
		return nil
	}
	f.SetReplicationCut("b", true)
	f.SetReplicationCut("c", true)
	f.election.token.Store(3)
	eventually(t, 5*time.Second, "a leads", f.leads("a"))
	other, inf := f.newOtherGroup(t, "b", "c")
	l, _ := f.group.Leader()
	other.Learn(l, "test")
	time.Sleep(time.Second)
	f.setCut("a", true)
	eventually(t, 5*time.Second, "the platform is asked", func() bool { return calls.Load() > 0 })
	f.listServer(t, "d")
	eventually(t, 5*time.Second, "the other instance lists d", func() bool {
		_, ok := inf.State().Server(exchangertest.Service, "d")
		return ok
	})
	if err := f.write("a", "with d"); err != nil {
		t.Fatal(err)
	}
	err := other.ConfirmCommit(l, f.Log("a"), time.Now().Add(700*time.Millisecond))
	t.Logf("the other instance's proof: %v", err)
	refuse.Store(false)
	eventually(t, 5*time.Second, "another server leads", f.changed)
	if lost := f.lost([]string{"with d"}); err == nil && len(lost) > 0 {
		t.Errorf("%v, which a caller was told of, is lost; promoted: %v", lost, f.Promotions())
	}
}
