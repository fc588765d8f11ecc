package gossiper_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/gossiper"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// view holds a configuration's version, and its content once it has been fetched.
type view struct {
	gossiper.View
	name string

	mu      sync.Mutex
	version int64
}

func (v *view) State(other *wire.PeerState) *wire.PeerState {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := &wire.PeerState{Header: &wire.Header{Instance: v.name}, ConfigurationVersion: v.version}
	if other != nil && other.GetConfigurationVersion() < v.version {
		s.Configuration = []byte{byte(v.version)}
	}
	return s
}

func (v *view) Learn(s *wire.PeerState, _ time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(s.GetConfiguration()) > 0 {
		v.version = max(v.version, int64(s.GetConfiguration()[0]))
	}
	return s.GetConfigurationVersion() > v.version
}

func (v *view) LeaseSource(bool) (string, bool) { return "", false }

func (v *view) get() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

// Guards against changes that spread only with the next random exchange: an
// instance that hears of a newer configuration must fetch it at once.
func TestNewsAreFetched(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	const instances = 8
	views := make([]*view, instances)
	gossipers := make([]*gossiper.Gossiper, instances)
	addresses := map[string]string{}
	var listeners []net.Listener
	for i := range instances {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		views[i] = &view{name: string(rune('a' + i)), version: 1}
		addresses[views[i].name] = l.Addr().String()
	}
	for i, l := range listeners {
		pool := messenger.NewPool(messenger.PoolConfig{})
		gossipers[i] = gossiper.New(gossiper.Config{
			Name: views[i].name, View: views[i], Dialer: pool, Clock: clockwork.NewRealClock(), Log: log,
			AddressOf: func(name string) string { return addresses[name] },
			Addresses: func() []string {
				var out []string
				for name, a := range addresses {
					if name != views[i].name {
						out = append(out, a)
					}
				}
				return out
			},
		})
		srv := messenger.NewServer(messenger.ServerConfig{Listener: l, Log: log})
		if err := wire.DRPCRegisterPeers(srv.Mux(), gossiper.Service{Name: views[i].name, View: views[i], Gossiper: gossipers[i]}); err != nil {
			t.Fatal(err)
		}
		srv.Start()
		t.Cleanup(func() {
			gossipers[i].Close()
			pool.Close()
			srv.Close()
		})
	}
	views[0].mu.Lock()
	views[0].version = 9
	views[0].mu.Unlock()
	if n := gossipers[0].Broadcast(t.Context()); n != 0 {
		t.Fatalf("%d instances could not be reached", n)
	}
	deadline := time.Now().Add(300 * time.Millisecond)
	for i, v := range views {
		for v.get() != 9 && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		if v.get() != 9 {
			t.Errorf("instance %d has version %d after 300 ms, less than one exchange interval", i, v.get())
		}
	}
}
