package overseer_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/overseer"
	"marigoldhub.example/hub/internal/porttest"
	"marigoldhub.example/hub/internal/prober"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server"
)

const (
	groupName = "catalogue"
	password  = "secret"
)

// fakeMembers is a directory whose monitor the test chooses. All instances share
// it, except that each has its own Self.
type fakeMembers struct {
	mu      sync.Mutex
	list    []enroller.Member
	holder  string
	changed chan struct{}
}

func (m *fakeMembers) setHolder(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder = name
	close(m.changed)
	m.changed = make(chan struct{})
}

type fakeDirectory struct {
	*fakeMembers
	self enroller.Member
}

func (d fakeDirectory) Self() enroller.Member { return d.self }

func (d fakeDirectory) Members() []enroller.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

func (d fakeDirectory) Holder(string) enroller.Member {
	for _, m := range d.Members() {
		if m.Instance == d.currentHolder() {
			return m
		}
	}
	return d.self
}

func (m *fakeMembers) currentHolder() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder
}

func (d fakeDirectory) HolderInZone(string, string) (enroller.Member, bool) {
	return enroller.Member{}, false
}

func (d fakeDirectory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// fakeCatalog is a catalog source whose catalog the test replaces.
type fakeCatalog struct {
	mu      sync.Mutex
	catalog *checker.Catalog
	changed chan struct{}
}

func (s *fakeCatalog) Catalog() *checker.Catalog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog
}

func (s *fakeCatalog) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeCatalog) set(c *checker.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = c
	close(s.changed)
	s.changed = make(chan struct{})
}

// instance is one entry instance of the cluster.
type instance struct {
	name     string
	overseer *overseer.Overseer
	confirms *confirmer.Chooser
	recorder *recorder.Recorder
	server   *messenger.Server
	pool     *messenger.Pool
	inFlight atomic.Int64
	frozen   atomic.Bool
	once     sync.Once
}

func (i *instance) InFlight(string) int { return int(i.inFlight.Load()) }

// frozenService blocks calls while its instance is frozen.
type frozenService struct {
	overseer.GroupsServer
	instance *instance
}

func (f frozenService) Confirm(ctx context.Context, req *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	f.instance.waitWhileFrozen(ctx)
	return f.GroupsServer.Confirm(ctx, req)
}

func (f frozenService) WatchGroup(ctx context.Context, req *wire.WatchGroupRequest) (*wire.WatchGroupResponse, error) {
	f.instance.waitWhileFrozen(ctx)
	return f.GroupsServer.WatchGroup(ctx, req)
}

func (i *instance) waitWhileFrozen(ctx context.Context) {
	for i.frozen.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

func (i *instance) close() {
	i.once.Do(func() {
		i.overseer.Close()
		_ = i.server.Close()
		_ = i.pool.Close()
	})
}

// cluster has three instances and a group of three stand-in servers.
type cluster struct {
	t         *testing.T
	dir       string
	log       *logrus.Logger
	configs   map[string]server.Config
	servers   map[string]*server.Server
	manifest  checker.Manifest
	catalog   *fakeCatalog
	members   *fakeMembers
	instances []*instance
	// registries count the bytes of each instance's calls to other instances.
	registries []metrics.Registry
	probes     atomic.Int64
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), log: logrus.New(),
		configs: make(map[string]server.Config),
		servers: make(map[string]*server.Server),
		catalog: &fakeCatalog{changed: make(chan struct{})},
		members: &fakeMembers{holder: "i1", changed: make(chan struct{})},
	}
	c.log.SetLevel(logrus.PanicLevel)
	c.startServers()
	c.catalog.set(checker.NewCatalog(c.manifest))
	for n := range 3 {
		c.startInstance(fmt.Sprintf("i%d", n+1))
	}
	return c
}

func (c *cluster) startServers() {
	g := checker.Group{Name: groupName, Database: "catalogue"}
	peers := make(map[string]string)
	for n := range 3 {
		name := fmt.Sprintf("s%d", n+1)
		peers[name] = porttest.FreeAddress(c.t)
		cfg := server.Config{
			Name: name, Listen: porttest.FreeAddress(c.t), ReplicationListen: peers[name], Peers: peers,
			Dir: filepath.Join(c.dir, name), ConnectionLimit: 20, Password: password,
			InitialPrimary: n == 0, Follow: peers["s1"], Log: c.log,
		}
		if n == 0 {
			cfg.Follow = ""
		}
		c.configs[name] = cfg
		g.Servers = append(g.Servers, checker.Server{Name: name, Address: cfg.Listen, ConnectionLimit: 20})
	}
	for name := range c.configs {
		c.startServer(name)
	}
	c.manifest = checker.Manifest{Part: "customer", Groups: []checker.Group{g}}
	c.t.Cleanup(func() {
		for _, s := range c.servers {
			s.Close()
		}
	})
}

func (c *cluster) startServer(name string) {
	s, err := server.Start(c.configs[name])
	if err != nil {
		c.t.Fatal(err)
	}
	c.servers[name] = s
}

func (c *cluster) dialer(name string) *prober.Dialer {
	return &prober.Dialer{Address: c.configs[name].Listen, User: "app", Password: password, Database: "catalogue"}
}

// countedSession counts probes.
type countedSession struct {
	prober.Session
	probes *atomic.Int64
}

func (s countedSession) ReadStatus(ctx context.Context) (tracker.Status, error) {
	s.probes.Add(1)
	return s.Session.ReadStatus(ctx)
}

func (c *cluster) connect(server string) prober.ConnectFunc {
	return func(ctx context.Context) (prober.Session, error) {
		s, err := c.dialer(server).Connect(ctx)
		if err != nil {
			return nil, err
		}
		return countedSession{s, &c.probes}, nil
	}
}

func (c *cluster) startInstance(name string) {
	clock := clockwork.NewRealClock()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	self := enroller.Member{Instance: name, Address: lis.Addr().String()}
	c.members.mu.Lock()
	c.members.list = append(c.members.list, self)
	c.members.mu.Unlock()
	registry := metrics.NewRegistry()
	c.registries = append(c.registries, registry)
	i := &instance{
		name:     name,
		recorder: recorder.New(name, 256, clock),
		server:   messenger.NewServer(messenger.ServerConfig{Listener: lis, Log: c.log}),
		pool:     messenger.NewPool(messenger.PoolConfig{Registry: registry}),
	}
	dir := fakeDirectory{c.members, self}
	i.overseer = overseer.New(overseer.Config{
		Directory: dir, Catalog: c.catalog, Dialer: i.pool, Clock: clock, Recorder: i.recorder, Log: c.log,
		Connect:  func(_, server string) prober.ConnectFunc { return c.connect(server) },
		InFlight: i,
	})
	i.confirms = confirmer.New(confirmer.Config{
		Directory: dir, Catalog: c.catalog, Trackers: i.overseer, Groups: i.overseer, Dialer: i.pool, Clock: clock, Recorder: i.recorder,
		Read: c.readDirect,
	})
	service := frozenService{overseer.GroupsServer{Overseer: i.overseer}, i}
	if err := wire.DRPCRegisterGroups(i.server.Mux(), service); err != nil {
		c.t.Fatal(err)
	}
	i.server.Start()
	c.instances = append(c.instances, i)
	c.t.Cleanup(i.close)
}

func (c *cluster) readDirect(ctx context.Context, _, server string) (tracker.Status, error) {
	conn, err := c.dialer(server).Dial(ctx)
	if err != nil {
		return tracker.Status{}, err
	}
	defer conn.Close()
	return conn.ReadStatus(ctx)
}

// awaitView waits until the instance has a view that satisfies match.
func (c *cluster) awaitView(i *instance, what string, match func(tracker.View) bool) tracker.View {
	c.t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for {
		v, _ := i.overseer.View(groupName)
		if match(v) {
			return v
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: no view with %s: %+v", i.name, what, v)
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *cluster) awaitPrimary(i *instance, name string, minTerm uint64) tracker.View {
	c.t.Helper()
	return c.awaitView(i, "primary "+name, func(v tracker.View) bool {
		return v.Primary == name && v.Term >= minTerm && !v.Draining
	})
}

func (c *cluster) confirm(i *instance, p tracker.Position, fresh bool) (confirmer.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return i.confirms.Confirm(ctx, confirmer.Request{Group: groupName, Position: p, Fresh: fresh})
}

// mustConfirm confirms p and returns the time that it took.
func (c *cluster) mustConfirm(i *instance, p tracker.Position, fresh bool) time.Duration {
	c.t.Helper()
	startedAt := time.Now()
	r, err := c.confirm(i, p, fresh)
	if err != nil || r.Outcome != confirmer.Confirmed {
		c.t.Fatalf("%s: confirm %v: %+v, %v", i.name, p, r, err)
	}
	return time.Since(startedAt)
}

// exec runs a statement on a server and returns the end of its log.
func (c *cluster) exec(name, sql string) tracker.Position {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	conn, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://app:%s@%s/catalogue?sslmode=disable", password, c.configs[name].Listen))
	if err != nil {
		c.t.Fatal(err)
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, sql).ReadAll(); err != nil {
		c.t.Fatal(err)
	}
	results, err := conn.Exec(ctx, prober.StatusQuery).ReadAll()
	if err != nil {
		c.t.Fatal(err)
	}
	var p tracker.Position
	for n, f := range results[0].FieldDescriptions {
		value, _ := strconv.ParseUint(string(results[0].Rows[0][n]), 10, 64)
		switch f.Name {
		case "log_term":
			p.Term = value
		case "log_offset":
			p.Offset = value
		}
	}
	return p
}
