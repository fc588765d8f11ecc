package confirmer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/tracker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var group = tracker.Group{Name: "g", Servers: []tracker.Server{{Name: "s1"}, {Name: "s2"}, {Name: "s3"}}}

// fakeMonitor is a monitor whose tracker the test controls.
type fakeMonitor struct {
	wire.DRPCGroupsUnimplementedServer
	server  *Server
	tracker atomic.Pointer[tracker.Tracker]
	calls   atomic.Int64
	items   atomic.Int64
}

func (m *fakeMonitor) Tracker(string) (*tracker.Tracker, bool) {
	t := m.tracker.Load()
	return t, t != nil
}

func (m *fakeMonitor) Confirm(ctx context.Context, req *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	m.calls.Add(1)
	m.items.Add(int64(len(req.GetItems())))
	return &wire.ConfirmResponse{Results: m.server.Results(ctx, req)}, nil
}

func startMonitor(t *testing.T) (*fakeMonitor, string, *messenger.Pool) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &fakeMonitor{}
	m.server = NewServer(m, clockwork.NewRealClock())
	m.tracker.Store(tracker.New(group))
	s := messenger.NewServer(messenger.ServerConfig{Listener: lis})
	if err := wire.DRPCRegisterGroups(s.Mux(), m); err != nil {
		t.Fatal(err)
	}
	s.Start()
	pool := messenger.NewPool(messenger.PoolConfig{})
	t.Cleanup(func() {
		_ = pool.Close()
		_ = s.Close()
		<-s.Done()
	})
	return m, lis.Addr().String(), pool
}

func statusOf(server string, end uint64) tracker.Status {
	s := tracker.Status{
		Server: server, Role: tracker.RoleReplica, Term: 1,
		Log: tracker.Position{Term: 1, Offset: end}, Lineage: tracker.Lineage{{Term: 1}},
	}
	s.Applied = s.Log
	if server == "s1" {
		s.Role = tracker.RolePrimary
	}
	return s
}

func observe(t *tracker.Tracker, end uint64) {
	for _, s := range group.Servers {
		now := time.Now()
		t.Observe(s.Name, statusOf(s.Name, end), now, now)
	}
}

// Guards against one call for each request, and against a position that is
// confirmed late and delays the requests after it.
func TestRemoteBatches(t *testing.T) {
	m, address, pool := startMonitor(t)
	observe(m.tracker.Load(), 10)
	r := NewRemote("i1", pool, clockwork.NewRealClock(), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	late := make(chan error, 1)
	go func() {
		_, err := r.Confirm(ctx, address, Request{Group: "g", Position: tracker.Position{Term: 1, Offset: 99}})
		late <- err
	}()
	time.Sleep(10 * time.Millisecond)
	const requests = 200
	var wg sync.WaitGroup
	startedAt := time.Now()
	for range requests {
		wg.Go(func() {
			res, err := r.Confirm(ctx, address, Request{Group: "g", Position: tracker.Position{Term: 1, Offset: 7}})
			if err != nil || res.Outcome != Confirmed {
				t.Errorf("confirm: %+v, %v", res, err)
			}
		})
	}
	wg.Wait()
	t.Logf("%d requests in %d calls, %v", requests, m.calls.Load()-1, time.Since(startedAt))
	if n := m.calls.Load(); n > requests/4 {
		t.Errorf("%d calls for %d requests", n, requests)
	}
	if d := time.Since(startedAt); d > remoteWait/2 {
		t.Errorf("requests took %v beside a late position", d)
	}
	if err := <-late; !errors.Is(err, ErrUndecided) {
		t.Errorf("late position: %v", err)
	}
}

// fakeDirectory has one holder for all roles.
type fakeDirectory struct {
	enroller.Directory
	holder enroller.Member
}

func (d fakeDirectory) Self() enroller.Member { return enroller.Member{Instance: "i1"} }

func (d fakeDirectory) Holder(string) enroller.Member { return d.holder }

type fakeCatalog struct{}

func (fakeCatalog) Catalog() *checker.Catalog {
	g := checker.Group{Name: "g"}
	for _, s := range group.Servers {
		g.Servers = append(g.Servers, checker.Server(s))
	}
	return checker.NewCatalog(checker.Manifest{Groups: []checker.Group{g}})
}

func (fakeCatalog) Changed() <-chan struct{} { return nil }

type noTrackers struct{}

func (noTrackers) Tracker(string) (*tracker.Tracker, bool) { return nil, false }

// Guards against requests that fail when the monitor is dead, does not have the
// role, or reaches no server, and against direct reads that start too early.
func TestFallback(t *testing.T) {
	m, address, pool := startMonitor(t)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	cases := []struct {
		name    string
		holder  enroller.Member
		tracker *tracker.Tracker
	}{
		{"monitor is dead", enroller.Member{Instance: "i2", Address: dead.Addr().String()}, nil},
		{"monitor left the role", enroller.Member{Instance: "i2", Address: address}, nil},
		{"monitor has no quorum", enroller.Member{Instance: "i2", Address: address}, tracker.New(group)},
		{"this instance has not begun to monitor", enroller.Member{Instance: "i1"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m.tracker.Store(c.tracker)
			var reads atomic.Int64
			read := func(_ context.Context, _, server string) (tracker.Status, error) {
				reads.Add(1)
				if server == "s3" {
					return tracker.Status{}, errors.New("unreachable")
				}
				return statusOf(server, 7), nil
			}
			chooser := New(Config{
				Directory: fakeDirectory{holder: c.holder}, Catalog: fakeCatalog{}, Trackers: noTrackers{},
				Dialer: pool, Read: read, Clock: clockwork.NewRealClock(),
			})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var wg sync.WaitGroup
			startedAt := time.Now()
			for range 20 {
				wg.Go(func() {
					res, err := chooser.Confirm(ctx, Request{Group: "g", Position: tracker.Position{Term: 1, Offset: 7}, Fresh: true})
					if err != nil || res.Outcome != Confirmed {
						t.Errorf("confirm: %+v, %v", res, err)
					}
				})
			}
			wg.Wait()
			took := time.Since(startedAt)
			t.Logf("20 requests took %v and %d reads", took, reads.Load())
			if took < monitorSilenceLimit || took > 2*monitorSilenceLimit {
				t.Errorf("direct reads answered after %v", took)
			}
			if n := reads.Load(); n > 60 {
				t.Errorf("%d reads for 20 concurrent requests", n)
			}
			startedAt = time.Now()
			if _, err := chooser.Confirm(ctx, Request{Group: "g"}); err != nil {
				t.Errorf("read index: %v", err)
			}
			if took := time.Since(startedAt); took > monitorSilenceLimit/2 {
				t.Errorf("request after a known silence took %v", took)
			}
		})
	}
}

// Guards against direct reads beside a monitor that answers but cannot confirm
// the position yet.
func TestUndecidedMonitorIsNoSilence(t *testing.T) {
	m, address, pool := startMonitor(t)
	observe(m.tracker.Load(), 5)
	read := func(context.Context, string, string) (tracker.Status, error) {
		t.Error("direct read")
		return tracker.Status{}, errors.New("unexpected")
	}
	chooser := New(Config{
		Directory: fakeDirectory{holder: enroller.Member{Instance: "i2", Address: address}},
		Catalog:   fakeCatalog{}, Trackers: noTrackers{}, Dialer: pool, Read: read, Clock: clockwork.NewRealClock(),
	})
	time.AfterFunc(700*time.Millisecond, func() { observe(m.tracker.Load(), 7) })
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	res, err := chooser.Confirm(ctx, Request{Group: "g", Position: tracker.Position{Term: 1, Offset: 7}})
	if err != nil || res.Outcome != Confirmed {
		t.Errorf("confirm: %+v, %v", res, err)
	}
}
