package promoter_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/prober"
	"marigoldhub.example/hub/internal/promoter"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/tracker"
)

// fakeServer is a model of a backend server with the rules of the design page,
// section 3. An entry of log is the term in which the record was written.
type fakeServer struct {
	name     string
	role     tracker.Role
	term     uint64
	promoter string
	log      []uint64
	follows  string
	leaving  bool
	// A dead server refuses connections. A cut one does not answer monitors and
	// other servers.
	dead, cut bool
	// A mute server sends no records to replicas.
	mute bool
	// A detached replica receives no records before the next follow command.
	detached bool
	// followed counts the follow commands received.
	followed int
	// diesOnPromote makes the server die at its next promotion.
	diesOnPromote bool
}

func (s *fakeServer) status() tracker.Status {
	st := tracker.Status{Server: s.name, Role: s.role, Term: s.term, Promoter: s.promoter, Leaving: s.leaving}
	for i, term := range s.log {
		if n := len(st.Lineage); n == 0 || st.Lineage[n-1].Term != term {
			st.Lineage = append(st.Lineage, tracker.TermStart{Term: term, Start: uint64(i)})
		}
		st.Log = tracker.Position{Term: term, Offset: uint64(i + 1)}
	}
	st.Applied = st.Log
	return st
}

// fakeGroup is a group in memory. Replication copies one record per millisecond
// to each replica that is not slow.
type fakeGroup struct {
	tracked tracker.Group
	mu      sync.Mutex
	servers map[string]*fakeServer
	slow    map[string]bool
}

func newFakeGroup(t *testing.T, size int, initialPrimary bool) *fakeGroup {
	g := &fakeGroup{tracked: tracker.Group{Name: "g"}, servers: make(map[string]*fakeServer), slow: make(map[string]bool)}
	for i := range size {
		name := fmt.Sprintf("s%d", i+1)
		s := &fakeServer{name: name, role: tracker.RoleReplica}
		if initialPrimary {
			s.term, s.follows = 1, "s1"
		}
		if initialPrimary && i == 0 {
			s.role, s.log = tracker.RolePrimary, []uint64{1}
		}
		g.servers[name] = s
		g.tracked.Servers = append(g.tracked.Servers, tracker.Server{Name: name, Address: name + ":1"})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.replicate(ctx)
	return g
}

func (g *fakeGroup) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		g.mu.Lock()
		for _, s := range g.servers {
			g.copyOne(s)
		}
		g.mu.Unlock()
	}
}

func (g *fakeGroup) copyOne(s *fakeServer) {
	p := g.servers[s.follows]
	if p == nil || s.role != tracker.RoleReplica || s.detached || s.dead || s.cut || g.slow[s.name] {
		return
	}
	if p.dead || p.cut || p.mute || p.role != tracker.RolePrimary || p.term != s.term {
		return
	}
	n := 0
	for n < len(s.log) && n < len(p.log) && s.log[n] == p.log[n] {
		n++
	}
	s.log = s.log[:n]
	if n < len(p.log) {
		s.log = append(slices.Clip(s.log), p.log[n])
	}
}

// set changes a server under the lock.
func (g *fakeGroup) set(name string, f func(s *fakeServer)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.servers[name])
}

func (g *fakeGroup) setSlow(name string, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slow[name] = on
}

// get returns a copy of a server.
func (g *fakeGroup) get(name string) *fakeServer {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := *g.servers[name]
	return &s
}

// write appends records on a server that leads, whether or not it is cut, and
// returns the end of its log.
func (g *fakeGroup) write(name string, n int) (tracker.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[name]
	if s.dead || s.role != tracker.RolePrimary {
		return tracker.Position{}, false
	}
	for range n {
		s.log = append(slices.Clip(s.log), s.term)
	}
	return s.status().Log, true
}

// fakeSession is one control connection.
type fakeSession struct {
	group  *fakeGroup
	server string
}

func (g *fakeGroup) connect(server string) prober.ConnectFunc {
	return func(ctx context.Context) (prober.Session, error) {
		if err := g.reach(ctx, server); err != nil {
			return nil, err
		}
		return &fakeSession{g, server}, nil
	}
}

// reach waits for a round trip, or fails as a network connection would.
func (g *fakeGroup) reach(ctx context.Context, server string) error {
	time.Sleep(time.Millisecond)
	s := g.get(server)
	if s.cut {
		<-ctx.Done()
		return ctx.Err()
	}
	if s.dead {
		return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	return nil
}

func (f *fakeSession) run(ctx context.Context, command func(s *fakeServer)) (tracker.Status, error) {
	if err := f.group.reach(ctx, f.server); err != nil {
		return tracker.Status{}, err
	}
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	s := f.group.servers[f.server]
	command(s)
	if s.dead {
		return tracker.Status{}, &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	}
	return s.status(), nil
}

func (f *fakeSession) ReadStatus(ctx context.Context) (tracker.Status, error) {
	return f.run(ctx, func(*fakeServer) {})
}

func (f *fakeSession) Fence(ctx context.Context, term uint64, id string) (tracker.Status, error) {
	return f.run(ctx, func(s *fakeServer) {
		if term > s.term {
			s.term, s.promoter, s.role, s.follows = term, id, tracker.RoleFenced, ""
		}
	})
}

func (f *fakeSession) Promote(ctx context.Context, term uint64, id string) (tracker.Status, error) {
	return f.run(ctx, func(s *fakeServer) {
		if term == s.term && id == s.promoter {
			s.role, s.log = tracker.RolePrimary, append(slices.Clip(s.log), term)
			s.dead = s.dead || s.diesOnPromote
		}
	})
}

func (f *fakeSession) Follow(ctx context.Context, term uint64, primary, _ string) (tracker.Status, error) {
	return f.run(ctx, func(s *fakeServer) {
		if term >= s.term {
			s.term, s.role, s.follows, s.detached = term, tracker.RoleReplica, primary, false
			s.followed++
		}
	})
}

func (f *fakeSession) Close() error { return nil }

// monitor is an instance that probes and promotes.
type monitor struct {
	tracker    *tracker.Tracker
	recorder   *recorder.Recorder
	commanders map[string]promoter.Commander
	probers    []*prober.Prober
	promoter   *promoter.Promoter
	once       sync.Once
}

// startMonitor starts an instance. The function wrap may replace its commanders.
func (g *fakeGroup) startMonitor(t *testing.T, name string, planner promoter.Planner, wrap func(*monitor, promoter.Commander) promoter.Commander) *monitor {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	clock := clockwork.NewRealClock()
	m := &monitor{
		tracker:    tracker.New(g.tracked),
		recorder:   recorder.New(name, 256, clock),
		commanders: make(map[string]promoter.Commander),
	}
	for _, s := range g.tracked.Servers {
		p := prober.New(prober.Config{Server: s.Name, Connect: g.connect(s.Name), Tracker: m.tracker, Clock: clock, Log: log})
		m.probers = append(m.probers, p)
		m.commanders[s.Name] = p
		if wrap != nil {
			m.commanders[s.Name] = wrap(m, p)
		}
	}
	m.promoter = promoter.New(promoter.Config{
		Instance: name, Tracker: m.tracker, Commanders: m.commanders, Planner: planner,
		Clock: clock, Recorder: m.recorder, Log: log,
	})
	t.Cleanup(m.close)
	return m
}

func (m *monitor) close() {
	m.once.Do(func() {
		m.promoter.Close()
		for _, p := range m.probers {
			p.Close()
		}
	})
}

// awaitPrimary waits until a term of at least min is established under a
// primary that satisfies match, and returns the state.
func (m *monitor) awaitPrimary(t *testing.T, min uint64, match func(name string) bool) tracker.State {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		s := m.tracker.State()
		if s.Term >= min && s.Primary != "" && match(s.Primary) && s.Server(s.Primary).Reachable() {
			return s
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("no primary in a term of at least %d: %+v", min, m.tracker.State())
	return tracker.State{}
}

// confirm waits for the confirmation of p.
func (m *monitor) confirm(p tracker.Position, limit time.Duration) (tracker.Proof, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return m.tracker.Await(ctx, p, false, time.Time{})
}

func (m *monitor) countSteps(kind string) int {
	n := 0
	for _, e := range m.recorder.Events() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}
