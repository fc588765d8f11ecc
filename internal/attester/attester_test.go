package attester_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

// prober probes the servers of a cluster over new connections.
type prober struct{ *exchangertest.Cluster }

func (p prober) Probe(srv informer.Server, s exchanger.Statement, deadline time.Time) (exchanger.Report, error) {
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

// newGroup returns a group of an instance that has known the servers from their starts on,
// and whose last primary lease ends now.
func newGroup(c *exchangertest.Cluster) *attester.Group {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := attester.NewGroup(attester.Config{
		Service: exchangertest.Service, Prober: prober{c}, AskPeers: func() {}, Clock: clockwork.NewRealClock(), Log: log,
		Servers: func() []informer.Server {
			servers := c.Servers()
			for i := range servers {
				servers[i].Since = time.UnixMilli(servers[i].Born)
			}
			return servers
		},
	})
	g.ExtendLease("a", 1, time.Now().Truncate(time.Millisecond))
	return g
}

func soon() time.Time { return time.Now().Add(2 * time.Second) }

func leaderOf(t *testing.T, g *attester.Group) attester.Leader {
	t.Helper()
	l, err := g.AwaitLeader(soon())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestWitness(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(c *exchangertest.Cluster)
		want   error
	}{
		{"all well", func(*exchangertest.Cluster) {}, nil},
		{"near replica down, far one confirms", func(c *exchangertest.Cluster) { c.SetDown("b", true) }, nil},
		{"no replica reachable", func(c *exchangertest.Cluster) { c.SetDown("b", true); c.SetDown("c", true) }, attester.ErrNotConfirmed},
		{"a replica leads and the others know", func(c *exchangertest.Cluster) { c.MakePrimary("b", 2, true) }, attester.ErrSuperseded},
		{"one replica leads, one is paused", func(c *exchangertest.Cluster) {
			pause(c, "c", 2)
			c.MakePrimary("b", 2, false)
		}, attester.ErrSuperseded},
		// The other one may have forgotten its pause in a restart that is not listed yet.
		{"one replica is paused, the other is not", func(c *exchangertest.Cluster) { pause(c, "b", 2) }, attester.ErrSuperseded},
		{"the far replica is paused, the near one is not", func(c *exchangertest.Cluster) { pause(c, "c", 2) }, attester.ErrSuperseded},
		{"one replica is paused and cannot be reached", func(c *exchangertest.Cluster) {
			pause(c, "b", 2)
			c.SetDown("b", true)
		}, nil},
		{"a former primary still leads an earlier term", func(c *exchangertest.Cluster) { c.MakePrimary("b", 0, false) }, nil},
		{"only a former primary that still leads an earlier term answers", func(c *exchangertest.Cluster) {
			c.MakePrimary("b", 0, false)
			c.SetDown("c", true)
		}, attester.ErrNotConfirmed},
		{"one that joined after the last lease is paused", func(c *exchangertest.Cluster) {
			c.SetBorn("c", time.Now())
			pause(c, "c", 2)
		}, attester.ErrSuperseded},
		// Guards against a restarted replica, which forgets that it was paused,
		// confirming a primary that was replaced.
		{"one restarted replica alone does not confirm", func(c *exchangertest.Cluster) {
			c.SetBorn("b", time.Now())
			c.SetBorn("c", time.Now())
			c.SetDown("c", true)
		}, attester.ErrNotConfirmed},
		// Guards against a partition in which the old primary serves with a server that joined
		// after the fence (platform.TestSoakMembers, long-partition).
		{"one that joined after the last lease does not confirm alone", func(c *exchangertest.Cluster) {
			c.SetDown("b", true)
			c.SetBorn("c", time.Now())
		}, attester.ErrNotConfirmed},
		{"all restarted replicas together confirm", func(c *exchangertest.Cluster) {
			c.SetBorn("b", time.Now())
			c.SetBorn("c", time.Now())
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := exchangertest.New("a", "b", "c")
			g := newGroup(c)
			l := leaderOf(t, g)
			tc.change(c)
			if err := g.ConfirmByReplica(time.Now(), l, soon()); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// Guards against a switchover during which strict reads are refused, because all replicas
// but the next primary are paused, and against a confirmation that rests on a switchover
// lease and not on the next primary.
func TestConfirmDuringASwitchover(t *testing.T) {
	for _, tc := range []struct {
		name   string
		ttl    time.Duration
		change func(c *exchangertest.Cluster)
		want   error
	}{
		{"the next primary does not lead yet", time.Minute, func(*exchangertest.Cluster) {}, nil},
		{"the next primary leads", time.Minute, func(c *exchangertest.Cluster) { c.MakePrimary("c", 2, false) }, attester.ErrSuperseded},
		{"the next primary cannot be reached", time.Minute, func(c *exchangertest.Cluster) { c.SetDown("c", true) }, attester.ErrNotConfirmed},
		{"the next primary has restarted", time.Minute, func(c *exchangertest.Cluster) { c.SetBorn("c", time.Now()) }, nil},
		{"the switchover lease has ended", time.Millisecond, func(*exchangertest.Cluster) {}, attester.ErrSuperseded},
		// Guards against a stale read beside a next primary that leads and cannot be asked, when
		// the paused replica has restarted unnoticed.
		{"the lease has ended, the replica is not paused, the next primary cannot be reached", time.Millisecond, func(c *exchangertest.Cluster) {
			command(c, "b", exchanger.Resume, 0)
			c.SetDown("c", true)
		}, attester.ErrNotConfirmed},
		{"the lease has ended, the replica is not paused, the next primary does not lead yet", time.Millisecond, func(c *exchangertest.Cluster) {
			command(c, "b", exchanger.Resume, 0)
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := exchangertest.New("a", "b", "c")
			g := newGroup(c)
			l := leaderOf(t, g)
			pause(c, "b", 2)
			g.ExtendSwitchover("a", "c", 1, time.Now().Add(tc.ttl))
			tc.change(c)
			time.Sleep(2 * time.Millisecond)
			if err := g.ConfirmByReplica(time.Now(), l, soon()); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// endSwitchoverLease gives the group a switchover lease with c as the next primary, which
// ends before the function returns.
func endSwitchoverLease(g *attester.Group) {
	g.ExtendSwitchover("a", "c", 1, time.Now().Add(time.Millisecond))
	time.Sleep(2 * time.Millisecond)
}

func pause(c *exchangertest.Cluster, id string, term uint64) { command(c, id, exchanger.Pause, term) }

func command(c *exchangertest.Cluster, id string, kind exchanger.Kind, term uint64) {
	for _, srv := range c.Servers() {
		if srv.ID == id {
			prober{c}.Probe(srv, exchanger.Statement{Kind: kind, Term: term}, soon())
		}
	}
}

// Guards against stale reads (formosa-dots trouble-1, seed 868845852397): once
// the new primary was known, the replaced one, which other instances still
// reached, counted as a replica that confirms its own term.
func TestReplacedPrimaryDoesNotConfirm(t *testing.T) {
	c := exchangertest.New("a", "b", "c")
	g := newGroup(c)
	old := leaderOf(t, g)
	c.SetDown("b", true)
	c.SetDown("c", true)
	var next informer.Server
	for _, srv := range c.Servers() {
		if srv.ID == "b" {
			next = srv
		}
	}
	g.Learn(attester.Leader{Server: next, Term: 2}, "test")
	if err := g.ConfirmByReplica(time.Now(), old, time.Now().Add(time.Second)); err == nil {
		t.Error("the old primary was confirmed although no replica answers")
	}
}

// Guards against the other stale read of that seed: a confirmation of the new
// primary must not count for a request that ran at the old one.
func TestConfirmIsOfOneLeader(t *testing.T) {
	c := exchangertest.New("a", "b", "c")
	g := newGroup(c)
	old := leaderOf(t, g)
	pause(c, "c", 2)
	c.MakePrimary("b", 2, false)
	if err := g.Confirm(old, soon()); err == nil {
		t.Error("the old leader was confirmed after another began to lead")
	}
	c.MakePrimary("b", 2, true)
	if err := g.Confirm(leaderOf(t, g), soon()); err != nil {
		t.Errorf("the new leader is not confirmed: %v", err)
	}
}

func TestRequiredPositionIsOldestRecentSample(t *testing.T) {
	c := exchangertest.New("a", "b", "c")
	g := newGroup(c)
	leaderOf(t, g)
	now := time.Now()
	at := func(ago time.Duration, offset uint64) attester.Sample {
		return attester.Sample{At: now.Add(-ago), Position: tracker.Position{Term: 1, Offset: offset}, Term: 1}
	}
	for _, s := range []attester.Sample{at(3*time.Second, 10), at(2*time.Second, 20), at(time.Second, 30)} {
		g.AddSample(s)
	}
	for _, tc := range []struct {
		name   string
		ago    time.Duration
		want   uint64
		exists bool
	}{
		{"older than all", 5 * time.Second, 10, true},
		{"between two samples", 2500 * time.Millisecond, 20, true},
		{"at a sample's time", time.Second, 30, true},
		{"later than all", 500 * time.Millisecond, 0, false},
	} {
		s, ok := g.RequiredPosition(now.Add(-tc.ago))
		if ok != tc.exists || s.Position.Offset != tc.want {
			t.Errorf("%s: %v, %v", tc.name, s.Position, ok)
		}
	}
	g.Learn(attester.Leader{Server: c.Servers()[1], Term: 2}, "test")
	g.AddSample(at(0, 99))
	if s, ok := g.RequiredPosition(now.Add(-500 * time.Millisecond)); ok {
		t.Errorf("a sample of an earlier term was added: %v", s)
	}
}

// Guards against primary leases that hold after their end, for another server or
// for an earlier term.
func TestPrimaryLease(t *testing.T) {
	c := exchangertest.New("a", "b", "c")
	g := newGroup(c)
	l := leaderOf(t, g)
	g.ExtendLease("a", 1, time.Now().Add(60*time.Millisecond))
	if !g.HasLease(l) {
		t.Error("a new lease does not hold")
	}
	time.Sleep(70 * time.Millisecond)
	if g.HasLease(l) {
		t.Error("the lease holds after its end")
	}
	g.ExtendLease("b", 1, time.Now().Add(time.Minute))
	if g.HasLease(l) {
		t.Error("a lease for another server holds")
	}
	g.ExtendLease("a", 1, time.Now().Add(2*time.Minute))
	g.Learn(attester.Leader{Server: c.Servers()[1], Term: 2}, "test")
	if g.HasLease(l) {
		t.Error("a lease for an earlier term holds")
	}
}

// Guards against a replaced primary that is taken for the leader because only it
// and paused replicas are reachable.
func TestNewestLeader(t *testing.T) {
	report := func(id string, role exchanger.Role, term, paused uint64) attester.ServerReport {
		return attester.ServerReport{Server: informer.Server{ID: id}, Report: exchanger.Report{Role: role, Term: term, PausedTerm: paused}}
	}
	p, r := exchanger.Primary, exchanger.Replica
	for _, tc := range []struct {
		name    string
		reports []attester.ServerReport
		want    string
	}{
		{"no reports", nil, ""},
		{"one primary", []attester.ServerReport{report("a", p, 1, 0), report("b", r, 1, 0)}, "a"},
		{"two primaries", []attester.ServerReport{report("a", p, 1, 0), report("b", p, 2, 0)}, "b"},
		{"a replica knows a later term", []attester.ServerReport{report("a", p, 1, 0), report("b", r, 2, 0)}, ""},
		{"a replica is paused for a later term", []attester.ServerReport{report("a", p, 1, 0), report("b", r, 1, 2)}, ""},
		{"only replicas", []attester.ServerReport{report("b", r, 1, 0)}, ""},
	} {
		l, ok := attester.NewestLeader(tc.reports)
		if ok != (tc.want != "") || ok && l.Server.ID != tc.want {
			t.Errorf("%s: %q, %v", tc.name, l.Server.ID, ok)
		}
	}
}

// Guards against a success for a commit that the next primary lacks: it was acknowledged
// with a replica that had forgotten its pause in a restart (review/4).
func TestConfirmCommit(t *testing.T) {
	at := func(offset uint64) tracker.Position { return tracker.Position{Term: 1, Offset: offset} }
	for _, tc := range []struct {
		name   string
		change func(c *exchangertest.Cluster, g *attester.Group)
		want   error
	}{
		{"no change of the primary", func(*exchangertest.Cluster, *attester.Group) {}, nil},
		{"one replica has not received it, the other has", func(c *exchangertest.Cluster, _ *attester.Group) { c.SetLog("b", at(6)) }, nil},
		{"no replica has received it", func(c *exchangertest.Cluster, _ *attester.Group) {
			c.SetLog("b", at(6))
			c.SetLog("c", at(6))
		}, attester.ErrNotConfirmed},
		{"no replica can be reached", func(c *exchangertest.Cluster, _ *attester.Group) { c.SetDown("b", true); c.SetDown("c", true) }, attester.ErrNotConfirmed},
		{"a primary lease holds", func(c *exchangertest.Cluster, g *attester.Group) {
			c.SetDown("b", true)
			c.SetDown("c", true)
			g.ExtendLease("a", 1, time.Now().Add(time.Minute))
		}, nil},
		{"one replica is paused, the other has restarted", func(c *exchangertest.Cluster, _ *attester.Group) {
			pause(c, "b", 2)
			c.SetBorn("c", time.Now())
		}, attester.ErrSuperseded},
		// Guards against a replica that restarted a moment ago under its id: regression-540 of
		// the soak lost 10 commits that it confirmed.
		{"one replica is paused, the other has restarted unnoticed", func(c *exchangertest.Cluster, _ *attester.Group) { pause(c, "b", 2) }, attester.ErrSuperseded},
		{"a former primary still leads an earlier term", func(c *exchangertest.Cluster, _ *attester.Group) { c.MakePrimary("b", 0, false) }, nil},
		{"one replica does not answer", func(c *exchangertest.Cluster, _ *attester.Group) { c.SetDown("b", true) }, nil},
		{"a replica that counts does not answer, a young one does", func(c *exchangertest.Cluster, _ *attester.Group) {
			c.SetDown("b", true)
			c.SetBorn("c", time.Now())
		}, attester.ErrNotConfirmed},
		{"both replicas are paused", func(c *exchangertest.Cluster, _ *attester.Group) {
			pause(c, "b", 2)
			pause(c, "c", 2)
		}, attester.ErrSuperseded},
		{"another server leads", func(c *exchangertest.Cluster, _ *attester.Group) { c.MakePrimary("b", 2, true) }, attester.ErrSuperseded},
		{"all replicas have restarted and know no later term", func(c *exchangertest.Cluster, _ *attester.Group) {
			c.SetBorn("b", time.Now())
			c.SetBorn("c", time.Now())
		}, nil},
		{"all replicas have restarted, one has not received it", func(c *exchangertest.Cluster, _ *attester.Group) {
			c.SetBorn("b", time.Now())
			c.SetBorn("c", time.Now())
			c.SetLog("b", at(6))
		}, attester.ErrNotConfirmed},
		{"one of the restarted replicas is paused", func(c *exchangertest.Cluster, _ *attester.Group) {
			c.SetBorn("b", time.Now())
			c.SetBorn("c", time.Now())
			pause(c, "b", 2)
		}, attester.ErrSuperseded},
		{"switchover, the next primary has it", func(c *exchangertest.Cluster, g *attester.Group) {
			pause(c, "b", 2)
			c.SetBorn("c", time.Now())
			g.ExtendSwitchover("a", "c", 1, time.Now().Add(time.Minute))
		}, nil},
		{"switchover, the next primary has not received it", func(c *exchangertest.Cluster, g *attester.Group) {
			c.SetLog("c", at(6))
			g.ExtendSwitchover("a", "c", 1, time.Now().Add(time.Minute))
		}, attester.ErrNotConfirmed},
		{"switchover, the next primary leads with later commits", func(c *exchangertest.Cluster, g *attester.Group) {
			c.MakePrimary("c", 2, true)
			c.SetLog("c", tracker.Position{Term: 2, Offset: 8})
			g.ExtendSwitchover("a", "c", 1, time.Now().Add(time.Minute))
		}, attester.ErrNotConfirmed},
		{"the switchover lease has ended", func(c *exchangertest.Cluster, g *attester.Group) {
			pause(c, "b", 2)
			c.SetBorn("c", time.Now())
			g.ExtendSwitchover("a", "c", 1, time.Now().Add(-time.Millisecond))
		}, attester.ErrSuperseded},
		// Guards against a call of the switchover that takes effect after its last lease, when the
		// paused replicas have restarted unnoticed: 43 commits of seed 1340 of TestChangesOfServers.
		{"the switchover lease has ended, the next primary has not received it", func(c *exchangertest.Cluster, g *attester.Group) {
			c.SetLog("c", at(6))
			endSwitchoverLease(g)
		}, attester.ErrNotConfirmed},
		{"the switchover lease has ended, the next primary does not answer", func(c *exchangertest.Cluster, g *attester.Group) {
			c.SetDown("c", true)
			endSwitchoverLease(g)
		}, attester.ErrNotConfirmed},
		{"the switchover lease has ended, the next primary has it", func(_ *exchangertest.Cluster, g *attester.Group) { endSwitchoverLease(g) }, nil},
		{"a primary lease has ended after the switchover lease", func(c *exchangertest.Cluster, g *attester.Group) {
			c.SetLog("c", at(6))
			endSwitchoverLease(g)
			g.ExtendLease("a", 1, time.Now())
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := exchangertest.New("a", "b", "c")
			for _, id := range []string{"a", "b", "c"} {
				c.SetLog(id, at(7))
			}
			g := newGroup(c)
			l := leaderOf(t, g)
			tc.change(c, g)
			if err := g.ConfirmCommit(l, at(7), time.Now().Add(500*time.Millisecond)); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}
