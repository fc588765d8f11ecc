package gossiper

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// answerer answers each exchange with the same state.
type answerer struct {
	Service
	state *wire.PeerState
	asked atomic.Int32
}

func (a *answerer) Exchange(context.Context, *wire.PeerState) (*wire.PeerState, error) {
	a.asked.Add(1)
	return a.state, nil
}

// serveState starts an instance that answers each exchange with the state.
func serveState(t *testing.T, state *wire.PeerState) (a *answerer, address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a = &answerer{state: state}
	srv := messenger.NewServer(messenger.ServerConfig{Listener: l, Log: silent()})
	if err := wire.DRPCRegisterPeers(srv.Mux(), a); err != nil {
		t.Fatal(err)
	}
	srv.Start()
	t.Cleanup(func() { srv.Close() })
	return a, l.Addr().String()
}

func silent() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// versionView adopts the version that is the first byte of a configuration.
type versionView struct {
	View
	mu      sync.Mutex
	version int64
}

func (v *versionView) State(*wire.PeerState) *wire.PeerState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return &wire.PeerState{Header: &wire.Header{Instance: "own"}, ConfigurationVersion: v.version}
}

func (v *versionView) Learn(s *wire.PeerState, _ time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := s.GetConfiguration(); len(c) > 0 {
		v.version = max(v.version, int64(c[0]))
	}
	return s.GetConfigurationVersion() > v.version
}

// newPuller returns a gossiper that runs nothing of its own accord.
func newPuller(t *testing.T, v View, others ...string) *Gossiper {
	t.Helper()
	pool := messenger.NewPool(messenger.PoolConfig{})
	t.Cleanup(func() { pool.Close() })
	none := func() []string { return nil }
	return &Gossiper{ctx: t.Context(), cfg: Config{
		View: v, Dialer: pool, Clock: clockwork.NewRealClock(), Log: silent(),
		Addresses: func() []string { return others }, SameZone: none,
	}}
}

func awaitPull(t *testing.T, g *Gossiper) {
	t.Helper()
	for began := time.Now(); g.pulling.Load(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatal("the pull goes on")
		}
	}
}

// Guards against an instance that asks only the one busy instance for the configuration while
// others have it.
func TestPullFromAnotherInstance(t *testing.T) {
	busy, source := serveState(t, &wire.PeerState{ConfigurationVersion: 9})
	_, other := serveState(t, &wire.PeerState{ConfigurationVersion: 9, Configuration: []byte{9}})
	v := &versionView{}
	g := newPuller(t, v, other)
	g.pullFrom(source)
	awaitPull(t, g)
	if n := busy.asked.Load(); v.version != 9 || n != 1 {
		t.Errorf("version %d after the busy instance was asked %d times, want 9 and 1", v.version, n)
	}
}

// Guards against a configuration that cannot be adopted and takes the link again and again.
func TestPullOfAWrongRecord(t *testing.T) {
	a, source := serveState(t, &wire.PeerState{ConfigurationVersion: 9, Configuration: []byte{1}})
	g := newPuller(t, &versionView{})
	g.pullFrom(source)
	awaitPull(t, g)
	if n := a.asked.Load(); n != 1 {
		t.Errorf("the configuration was fetched %d times, want once", n)
	}
}

// Guards against exchanges that stop while one busy instance is asked for its records.
func TestExchangesGoOnDuringAPull(t *testing.T) {
	other, address := serveState(t, &wire.PeerState{})
	g := newPuller(t, &versionView{}, address)
	g.pulling.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.run(ctx)
	}()
	for began := time.Now(); other.asked.Load() == 0 && time.Since(began) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	if other.asked.Load() == 0 {
		t.Error("no exchange in 5 s while a pull goes on")
	}
}
