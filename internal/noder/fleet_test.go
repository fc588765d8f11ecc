package noder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"marigoldhub.example/hub/internal/clocker"
	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/gossiper"
	"marigoldhub.example/hub/internal/holder"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/registrar"
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/storer/storertest"
	"marigoldhub.example/hub/internal/surveyor"
	"marigoldhub.example/hub/platform"
)

// fleet is a number of instances in four zones that exchange configurations and lists of
// servers without a network. Each sends over a link of 10 Mbit/s.
type fleet struct {
	store   *storertest.Memory
	members map[string]*fleetMember
	// reads counts the reads of the whole configuration from the store, decodes how often any
	// instance decoded one.
	reads, decodes atomic.Int64
}

type fleetMember struct {
	*fleet
	node    *Node
	service gossiper.Service
	// serves is closed when the instance answers others.
	serves chan struct{}
	// link is held while the instance sends.
	link sync.Mutex

	mu sync.Mutex
	// called has the instances that this one sent a request.
	called map[string]bool
	// sent and otherZones are bytes of configurations in all responses, and in those to other
	// zones.
	sent, otherZones int
}

// fleetLinkBytes is the rate of a link in bytes a second, for small configurations in proportion.
const fleetLinkBytes = 1e6 / 8

// fleetStore counts the reads of the whole configuration.
type fleetStore struct {
	*storertest.Memory
	fleet *fleet
}

func (s fleetStore) Get(ctx context.Context, key string) (storer.Entry, bool, error) {
	s.count(key)
	return s.Memory.Get(ctx, key)
}

func (s fleetStore) List(ctx context.Context, prefix string) ([]storer.Entry, int64, error) {
	s.count(prefix)
	return s.Memory.List(ctx, prefix)
}

func (s fleetStore) ListStale(ctx context.Context, prefix string) ([]storer.Entry, int64, error) {
	s.count(prefix)
	return s.Memory.ListStale(ctx, prefix)
}

func (s fleetStore) count(key string) {
	if key == platform.Schema().ConfigurationKey {
		s.fleet.reads.Add(1)
	}
}

// Dial implements [messenger.Dialer].
func (m *fleetMember) Dial(_ context.Context, address string) (drpc.Conn, error) {
	to, ok := m.members[address]
	if !ok {
		return nil, errors.New("no such instance")
	}
	return fleetConn{from: m, to: to}, nil
}

// fleetConn carries exchanges of views between two instances.
type fleetConn struct {
	drpc.Conn
	from, to *fleetMember
}

// Invoke implements [drpc.Conn].
func (c fleetConn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	select {
	case <-c.to.serves:
	default:
		return errors.New("instance has not started")
	}
	if !strings.HasSuffix(rpc, "/Exchange") {
		return errors.New("not served")
	}
	c.from.mu.Lock()
	c.from.called[c.to.node.settings.Instance] = true
	c.from.mu.Unlock()
	request := proto.Clone(in.(*wire.PeerState)).(*wire.PeerState)
	if err := c.from.send(ctx, request, c.to); err != nil {
		return err
	}
	response, err := c.to.service.Exchange(ctx, request)
	if err != nil {
		return err
	}
	if err := c.to.send(ctx, response, c.from); err != nil {
		return err
	}
	proto.Merge(out.(*wire.PeerState), response)
	return nil
}

// send takes the time that the message takes on the link. One that is too late was sent in vain.
func (m *fleetMember) send(ctx context.Context, s *wire.PeerState, to *fleetMember) error {
	n := len(s.GetConfiguration())
	m.mu.Lock()
	m.sent += n
	if m.node.settings.Zone != to.node.settings.Zone {
		m.otherZones += n
	}
	m.mu.Unlock()
	m.link.Lock()
	defer m.link.Unlock()
	time.Sleep(time.Duration(float64(proto.Size(s)) / fleetLinkBytes * float64(time.Second)))
	return ctx.Err()
}

// startFleet starts instances at about the same time, while the store has a configuration
// with the number of routes.
func startFleet(t *testing.T, instances, routes int) *fleet {
	f := &fleet{store: storertest.New(), members: map[string]*fleetMember{}}
	f.putConfiguration(1, routes)
	for i := range instances {
		name := fmt.Sprintf("i%03d", i)
		f.members[name] = &fleetMember{fleet: f, serves: make(chan struct{}), called: map[string]bool{}, node: &Node{
			settings: platform.Settings{Instance: name, Zone: fmt.Sprint("z", i%4), ControlAddress: name, LinkBytes: fleetLinkBytes, Seeds: []string{"i000", "i001", "i002"}, ServerHeartbeatInterval: time.Second},
			clock:    clocker.NewBoot(), metrics: metrics.NewRegistry(), built: make(chan struct{}),
		}}
	}
	for _, m := range f.members {
		m.start(t)
	}
	return f
}

func (m *fleetMember) start(t *testing.T) {
	n := m.node
	n.log, n.started = logrus.New(), n.clock.Now()
	n.log.SetOutput(io.Discard)
	store := fleetStore{m.store, m.fleet}
	n.registrar = registrar.New(registrar.Config{
		Store: store, Clock: n.clock, Log: n.log,
		Self: registrar.Instance{Name: n.settings.Instance, Address: n.settings.ControlAddress, Zone: n.settings.Zone, Incarnation: time.Now().UnixNano()},
	})
	cfg := n.informerConfig(store)
	decode := cfg.Schema.DecodeConfiguration
	cfg.Schema.DecodeConfiguration = func(raw []byte) (*informer.Configuration, error) {
		m.decodes.Add(1)
		return decode(raw)
	}
	n.informer = informer.New(cfg)
	n.dispatcher = dispatcher.New(dispatcher.Config{
		Zone: n.settings.Zone, Informer: n.informer, Instance: n.settings.Instance, Instances: n.instances, InstancesKnown: n.registrar.HasList, InstancesChanged: n.registrar.Changed,
		Seeds: n.seeds(), IsCoordinator: n.isCoordinator, AskPeers: func() {}, Clock: n.clock, TimeOfDay: time.Now, Metrics: n.metrics, Log: n.log,
	})
	n.surveyor = surveyor.New(n.clock)
	noStore := storertest.New()
	noStore.SetDown(true)
	n.holder = holder.New(holder.Config{Store: noStore, Name: n.settings.Instance, CampaignInterval: n.campaignInterval, Clock: n.clock, Log: n.log})
	n.gossiper = gossiper.New(n.gossiperConfig(m))
	m.service = gossiper.Service{Name: n.settings.Instance, View: view{n}, Gossiper: n.gossiper}
	close(n.built)
	close(m.serves)
	t.Cleanup(func() {
		n.gossiper.Close()
		n.dispatcher.Close()
		n.informer.Close()
		n.holder.Close()
		n.registrar.Close()
	})
}

// putConfiguration writes a version with the number of routes.
func (f *fleet) putConfiguration(version, routes int) {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"services":[{"name":"s","max_conns":9}],"routes":[`, version)
	for i := range routes {
		if i > 0 {
			b.WriteString(",")
		}
		id := xxhash.Sum64String(fmt.Sprint(version, i))
		fmt.Fprintf(&b, `{"name":"%x","host":"%x","kind":"primary","timeout_ms":800,"latency_slo_ms":400,"service":"s"}`, id, id*7919)
	}
	f.store.Put(platform.Schema().ConfigurationKey, []byte(b.String()+"]}"))
}

// await waits until all instances have the version and returns how long that took.
func (f *fleet) await(t *testing.T, version int64, limit time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		lacking := 0
		for _, m := range f.members {
			if s := m.node.informer.State(); !s.HasConfiguration() || s.Configuration.Version < version {
				lacking++
			}
		}
		if lacking == 0 {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			t.Fatalf("%d of %d instances lack version %d after %v", lacking, len(f.members), version, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// reset begins to count anew.
func (f *fleet) reset() {
	f.reads.Store(0)
	f.decodes.Store(0)
	for _, m := range f.members {
		m.mu.Lock()
		clear(m.called)
		m.sent, m.otherZones = 0, 0
		m.mu.Unlock()
	}
}

// figures are the largest number of instances that one called, the bytes of configurations that
// the busiest one and all sent, and those that all sent to other zones.
type fleetFigures struct{ called, busiest, sent, otherZones int }

func (f *fleet) figures() (out fleetFigures) {
	for _, m := range f.members {
		m.mu.Lock()
		out.called, out.busiest = max(out.called, len(m.called)), max(out.busiest, m.sent)
		out.sent += m.sent
		out.otherZones += m.otherZones
		m.mu.Unlock()
	}
	return out
}

func (f *fleet) packedSize() int {
	return len(slices.Collect(maps.Values(f.members))[0].node.informer.State().Configuration.Packed)
}

// Guards against a start of the whole fleet in which each instance reads the configuration from
// the store, up to a megabyte over its own link, and in which a change reaches the instances
// from few others whose links are full: both grew with the fleet (docs/CAPACITY.md, S1).
func TestConfigurationInAFleet(t *testing.T) {
	const routes = 150
	sizes := []int{30, 100, 300}
	if isRace {
		// The lists of 300 instances take seconds of processor time then, and calls time out.
		sizes = sizes[:2]
	}
	for _, instances := range sizes {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			f := startFleet(t, instances, routes)
			took := f.await(t, 1, 20*time.Second)
			t.Logf("start: all have it after %v, %d reads of the store, %d decodes, %+v", took, f.reads.Load(), f.decodes.Load(), f.figures())
			// An instance reads the configuration once at its start: a wait for the others made all
			// callers wait longer after a loss of all power.
			if n, most := f.reads.Load(), int64(instances+3*readers); n > most {
				t.Errorf("start: the store was asked %d times for all of the configuration, want %d at most, once an instance and thrice a reader", n, most)
			}
			if n := f.decodes.Load(); n > int64(2*instances) {
				t.Errorf("start: %d configurations were decoded, want two an instance at most", n)
			}
			time.Sleep(3 * time.Second)
			f.reset()
			f.putConfiguration(2, routes)
			took = f.await(t, 2, 20*time.Second)
			size, got := f.packedSize(), f.figures()
			t.Logf("change: all have it after %v, %d reads of the store, %d decodes, packed %d, %+v", took, f.reads.Load(), f.decodes.Load(), size, got)
			if got.busiest > 12*size {
				t.Errorf("change: one instance sent %d bytes, want those of 12 configurations (%d) at most", got.busiest, 12*size)
			}
			if got.sent > instances*size*5/4 {
				t.Errorf("change: %d bytes were sent, want those of 1.25 configurations an instance at most (%d)", got.sent, instances*size*5/4)
			}
			if most := (readers + instances/6) * size; got.otherZones > most {
				t.Errorf("change: %d of %d bytes went to other zones, want %d at most", got.otherZones, got.sent, most)
			}
			if got.called > 40 {
				t.Errorf("change: one instance called %d others, want 40 at most, whatever the fleet", got.called)
			}
		})
	}
}
