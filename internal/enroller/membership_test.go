package enroller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"storj.io/drpc"

	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is one instance that uses drpc over the loopback interface.
type node struct {
	*Membership
	server   *messenger.Server
	pool     *messenger.Pool
	registry metrics.Registry
	// frozen is set while the node neither answers nor sends.
	frozen atomic.Bool
	stop   func()
}

type frozenService struct {
	wire.DRPCMembershipServer
	n *node
}

func (f frozenService) Heartbeat(ctx context.Context, req *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	if f.n.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.DRPCMembershipServer.Heartbeat(ctx, req)
}

func (f frozenService) Heartbeats(stream wire.DRPCMembership_HeartbeatsStream) error {
	return f.DRPCMembershipServer.Heartbeats(frozenServerStream{stream, f.n})
}

type frozenServerStream struct {
	wire.DRPCMembership_HeartbeatsStream
	n *node
}

func (s frozenServerStream) Recv() (*wire.HeartbeatRequest, error) {
	req, err := s.DRPCMembership_HeartbeatsStream.Recv()
	if s.n.frozen.Load() {
		<-s.Context().Done()
		return nil, s.Context().Err()
	}
	return req, err
}

// Dial returns connections that block while the node is frozen.
func (n *node) Dial(ctx context.Context, address string) (drpc.Conn, error) {
	conn, err := n.pool.Dial(ctx, address)
	return frozenConn{conn, n}, err
}

type frozenConn struct {
	drpc.Conn
	n *node
}

func (c frozenConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	if c.n.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return frozenStream{stream, c.n}, nil
}

type frozenStream struct {
	drpc.Stream
	n *node
}

func (s frozenStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	if s.n.frozen.Load() {
		<-s.Context().Done()
		return s.Context().Err()
	}
	return s.Stream.MsgSend(msg, enc)
}

type option func(*Config)

func listen(t testing.TB) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return lis
}

func startNode(t testing.TB, name string, lis net.Listener, seeds []string, opts ...option) *node {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	n := &node{registry: metrics.NewRegistry()}
	n.server = messenger.NewServer(messenger.ServerConfig{Listener: lis, Registry: n.registry, Log: log})
	n.pool = messenger.NewPool(messenger.PoolConfig{Registry: n.registry})
	cfg := Config{
		Self:     Member{Instance: name, Address: lis.Addr().String(), Zone: "z1"},
		Seeds:    seeds,
		Dialer:   n,
		Registry: n.registry,
		Log:      log,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	n.Membership = New(cfg)
	if err := wire.DRPCRegisterMembership(n.server.Mux(), frozenService{n.Membership, n}); err != nil {
		t.Fatal(err)
	}
	n.server.Start()
	n.stop = sync.OnceFunc(func() {
		_ = n.Close()
		_ = n.pool.Close()
		_ = n.server.Close()
	})
	t.Cleanup(n.stop)
	return n
}

// startCluster starts n instances. All but the first know only the first one's
// address.
func startCluster(t testing.TB, n int) []*node {
	t.Helper()
	first := listen(t)
	nodes := []*node{startNode(t, "entry-0", first, nil)}
	for i := 1; i < n; i++ {
		nodes = append(nodes, startNode(t, fmt.Sprintf("entry-%d", i), listen(t), []string{first.Addr().String()}))
	}
	for _, m := range nodes {
		waitMembers(t, m, n, 5*time.Second)
	}
	return nodes
}

func waitMembers(t testing.TB, n *node, want int, limit time.Duration) {
	t.Helper()
	waitFor(t, limit, func() bool { return len(n.Members()) == want },
		func() string { return fmt.Sprintf("%s has members %v, want %d", n.Self().Instance, n.Members(), want) })
}

func waitFor(t testing.TB, limit time.Duration, ok func() bool, describe func() string) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(describe())
		}
	}
}

// rolesOf returns names of roles that the instance holds in the first node's
// view.
func rolesOf(nodes []*node, instance string) []string {
	var roles []string
	for i := range 60 {
		role := fmt.Sprintf("monitor/g%d", i)
		if nodes[0].Holder(role).Instance == instance {
			roles = append(roles, role)
		}
	}
	return roles
}

// Guards against roles that stay with a stopped or frozen member for longer than
// the 1 s of section 4.9 of the design page.
func TestDutiesMoveWithinOneSecond(t *testing.T) {
	tests := []struct {
		name string
		fail func(*node)
	}{
		{"death", func(n *node) { n.stop() }},
		{"freeze", func(n *node) { n.frozen.Store(true) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			nodes := startCluster(t, 4)
			failed, rest := nodes[2], nodes[:2]
			rest = append(slices.Clone(rest), nodes[3])
			roles := rolesOf(nodes, failed.Self().Instance)
			if len(roles) == 0 {
				t.Fatal("the failed member holds no role")
			}
			name := failed.Self().Instance
			begun := time.Now()
			tt.fail(failed)
			for _, n := range rest {
				for _, role := range roles {
					waitFor(t, time.Second-time.Since(begun), func() bool { return n.Holder(role).Instance != name },
						func() string { return "role did not move within 1 s" })
				}
			}
			t.Logf("duties_move_ms=%d", time.Since(begun).Milliseconds())
			for _, role := range roles {
				if a, b := rest[0].Holder(role), rest[1].Holder(role); a != b {
					t.Errorf("holders differ after the move: %v and %v; views %v and %v", a, b, rest[0].Members(), rest[1].Members())
				}
			}
		})
	}
}

// Guards against a frozen member that does not become a member again after it
// resumes.
func TestThawedMemberReturns(t *testing.T) {
	nodes := startCluster(t, 3)
	nodes[1].frozen.Store(true)
	waitMembers(t, nodes[0], 2, 2*time.Second)
	nodes[1].frozen.Store(false)
	for _, n := range nodes {
		waitMembers(t, n, 3, 5*time.Second)
	}
}

// Guards against a planned stop that is noticed only after the failure timeout,
// and against a delayed list that makes the leaving member active again.
func TestAnnounceLeave(t *testing.T) {
	nodes := startCluster(t, 3)
	begun := time.Now()
	late := &wire.HeartbeatRequest{
		Header:  &wire.Header{Instance: "entry-0"},
		Sender:  nodes[0].Self().toWire(),
		Members: []*wire.Member{nodes[2].Self().toWire()},
	}
	nodes[2].AnnounceLeave(context.Background())
	for _, n := range nodes[:2] {
		waitMembers(t, n, 2, 300*time.Millisecond)
	}
	t.Logf("leave_ms=%d", time.Since(begun).Milliseconds())
	if _, err := nodes[1].Heartbeat(context.Background(), late); err != nil {
		t.Fatal(err)
	}
	if got := len(nodes[1].Members()); got != 2 {
		t.Errorf("a delayed list changed the number of members to %d", got)
	}
	if h := nodes[2].Holder("monitor/g"); h.Instance == "entry-2" {
		t.Error("a leaving instance holds a role")
	}
}

// Guards against two processes with the same name that both hold its roles: the
// newer one must win, and the older one takes over when the newer one is gone.
func TestDuplicateInstanceName(t *testing.T) {
	first := listen(t)
	seeds := []string{first.Addr().String()}
	a := startNode(t, "entry-0", first, nil)
	older := startNode(t, "entry-1", listen(t), seeds, func(c *Config) { c.Self.Incarnation = 100 })
	waitMembers(t, a, 2, 2*time.Second)
	newer := startNode(t, "entry-1", listen(t), seeds, func(c *Config) { c.Self.Incarnation = 200 })
	address := newer.Self().Address
	for _, n := range []*node{a, older, newer} {
		waitFor(t, 3*time.Second, func() bool {
			members := n.Members()
			return len(members) == 2 && members[1].Address == address
		}, func() string { return fmt.Sprintf("members %v, want entry-1 at %s", n.Members(), address) })
	}
	newer.stop()
	waitFor(t, 5*time.Second, func() bool {
		members := a.Members()
		return len(members) == 2 && members[1].Address == older.Self().Address
	}, func() string { return fmt.Sprintf("members %v, want the older process back", a.Members()) })
}

// Guards against a restart after the wall clock went back: lists still contain
// the earlier process with its higher incarnation.
func TestRestartWithLowerIncarnation(t *testing.T) {
	lis := listen(t)
	n := startNode(t, "entry-0", lis, nil, func(c *Config) { c.Self.Incarnation = 5 })
	predecessor := n.Self()
	predecessor.Incarnation = 50
	_, err := n.Heartbeat(context.Background(), &wire.HeartbeatRequest{
		Header:  &wire.Header{Instance: "entry-9"},
		Sender:  Member{Instance: "entry-9", Address: "127.0.0.1:1", Incarnation: 1}.toWire(),
		Members: []*wire.Member{predecessor.toWire()},
	})
	if err != nil {
		t.Fatal(err)
	}
	if got := n.Self().Incarnation; got != 51 {
		t.Errorf("incarnation %d, want 51", got)
	}
}

// Guards against lists that make members alive: a member that a peer or the
// platform lists but that never sent a message must hold no role.
func TestListsOnlyAddPeers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := startNode(t, "entry-0", listen(t), nil, func(c *Config) { c.Clock = clock })
	unheard := Member{Instance: "entry-8", Address: "127.0.0.1:1", Incarnation: 3}
	n.mu.Lock()
	n.mergeList([]*wire.Member{unheard.toWire()}, clock.Now())
	n.mu.Unlock()
	n.applyPlatform([]platformInstance{{Name: "entry-9", Address: "127.0.0.1:2", Kind: kindEntry, State: "live"}})
	if got := n.Members(); len(got) != 1 {
		t.Errorf("members %v, want only this instance", got)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.peers) != 2 {
		t.Errorf("%d peers, want 2", len(n.peers))
	}
}

// Guards against an address that is tried forever although nobody answers.
func TestSilentPeerIsDropped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := startNode(t, "entry-0", listen(t), nil, func(c *Config) { c.Clock = clock })
	n.applyPlatform([]platformInstance{{Name: "entry-9", Address: "127.0.0.1:1", Kind: kindEntry, State: "live"}})
	count := func() int {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.peers)
	}
	waitFor(t, 10*time.Second, func() bool {
		clock.Advance(500 * time.Millisecond)
		return count() == 0
	}, func() string { return "the address is still tried" })
}

// Guards against a paused process that still considers itself the holder of its
// roles although another member took them over during the pause.
func TestPausedInstanceHoldsNoDuty(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := startNode(t, "entry-0", listen(t), nil, func(c *Config) { c.Clock = clock })
	peer := Member{Instance: "entry-1", Address: "127.0.0.1:1", Incarnation: 1, Zone: "z1"}
	hear := func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.recordContact(peer, clock.Now())
		n.refresh(clock.Now())
	}
	hear()
	role := rolesOf([]*node{n}, "entry-0")[0]
	clock.Advance(5 * time.Second)
	if h := n.Holder(role); h.Instance != "entry-1" {
		t.Errorf("after a pause the role is held by %q, want entry-1", h.Instance)
	}
	for range 8 {
		clock.Advance(100 * time.Millisecond)
		hear()
	}
	if h := n.Holder(role); h.Instance != "entry-0" {
		t.Errorf("after the failure timeout the role is held by %q, want entry-0", h.Instance)
	}
}

// Guards against leaving marks that are not applied, and against an outdated
// list that marks every instance and would leave no holder.
func TestPlatformList(t *testing.T) {
	lis := listen(t)
	body := atomic.Pointer[string]{}
	set := func(s string) { body.Store(&s) }
	set(`[{"name":"db-1","address":"127.0.0.1:9","kind":"server","state":"leaving"}]`)
	var unchanged atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		etag := fmt.Sprintf("%q", fmt.Sprint(len(*body.Load())))
		if r.Header.Get("If-None-Match") == etag {
			unchanged.Add(1)
			w.WriteHeader(http.StatusNotModified)
			return
		}
		w.Header().Set("ETag", etag)
		_, _ = w.Write([]byte(*body.Load()))
	}))
	defer srv.Close()
	n := startNode(t, "entry-0", lis, nil, func(c *Config) {
		c.PlatformURL = srv.URL
		c.PlatformInterval = 20 * time.Millisecond
	})
	waitFor(t, 2*time.Second, func() bool { return n.ServerLeaving("db-1") }, func() string { return "leaving mark not applied" })
	waitFor(t, 2*time.Second, func() bool { return unchanged.Load() > 0 }, func() string { return "unchanged list was sent again" })
	set(fmt.Sprintf(`[{"name":"entry-0","address":%q,"kind":"entry","state":"leaving"}]`, lis.Addr()))
	waitFor(t, 2*time.Second, func() bool { return !n.ServerLeaving("db-1") }, func() string { return "leaving mark still applied" })
	if got := n.Members(); len(got) != 1 {
		t.Errorf("members %v, want this instance although the platform marks it", got)
	}
}

// Guards against roles that move although their holder is alive: the failure of
// a member may move only that member's roles.
func TestChooseMovesOnlyLostDuties(t *testing.T) {
	var members []Member
	for i := range 8 {
		members = append(members, Member{Instance: fmt.Sprintf("entry-%d", i)})
	}
	counts := map[string]int{}
	for i := range 800 {
		role := fmt.Sprintf("monitor/g%d", i)
		before, _ := chooseHolder(role, members)
		counts[before.Instance]++
		after, _ := chooseHolder(role, members[1:])
		if before != members[0] && before != after {
			t.Fatalf("role %s moved from %s to %s", role, before.Instance, after.Instance)
		}
	}
	for name, n := range counts {
		if n < 50 || n > 150 {
			t.Errorf("%s holds %d of 800 roles", name, n)
		}
	}
}

func BenchmarkHolder(b *testing.B) {
	n := startNode(b, "entry-0", listen(b), nil)
	n.mu.Lock()
	for i := range 7 {
		n.recordContact(Member{Instance: fmt.Sprintf("entry-%d", i+1), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Incarnation: 1}, time.Now())
	}
	n.mu.Unlock()
	b.ReportAllocs()
	for b.Loop() {
		n.Holder("monitor/core")
	}
}

func FuzzParsePlatformList(f *testing.F) {
	f.Add(`[{"name":"entry-1","address":"127.0.0.1:1","zone":"a","kind":"entry","state":"live"}]`)
	f.Add(`[{"name":1}]`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, body string) {
		instances, err := parsePlatformList(strings.NewReader(body))
		if err != nil && instances != nil {
			t.Fatal("instances returned with an error")
		}
		for _, i := range instances {
			if i.Name == "" || len(i.Address) > maxNameBytes {
				t.Fatalf("bad element accepted: %+v", i)
			}
		}
	})
}
