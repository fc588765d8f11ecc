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

// node is one instance with real drpc over loopback.
type node struct {
	*Membership
	server   *messenger.Server
	pool     *messenger.Pool
	registry metrics.Registry
	// frozen makes the node neither answer nor send.
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

// Dial returns connections that do nothing while the node is frozen.
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

// startCluster starts n instances that know only the first one's address.
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

// dutiesOf returns names of duties that the instance holds in all views.
func dutiesOf(nodes []*node, instance string) []string {
	var duties []string
	for i := range 60 {
		duty := fmt.Sprintf("monitor/g%d", i)
		if nodes[0].Holder(duty).Instance == instance {
			duties = append(duties, duty)
		}
	}
	return duties
}

// Guards against duties that stay with a dead or frozen member for longer
// than the 1 s of section 4.9.
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
			victim, rest := nodes[2], nodes[:2]
			rest = append(slices.Clone(rest), nodes[3])
			duties := dutiesOf(nodes, victim.Self().Instance)
			if len(duties) == 0 {
				t.Fatal("the victim holds no duty")
			}
			name := victim.Self().Instance
			begun := time.Now()
			tt.fail(victim)
			for _, n := range rest {
				for _, duty := range duties {
					waitFor(t, time.Second-time.Since(begun), func() bool { return n.Holder(duty).Instance != name },
						func() string { return "duty did not move within 1 s" })
				}
			}
			t.Logf("duties_move_ms=%d", time.Since(begun).Milliseconds())
			for _, duty := range duties {
				if a, b := rest[0].Holder(duty), rest[1].Holder(duty); a != b {
					t.Errorf("holders differ after the move: %v and %v; views %v and %v", a, b, rest[0].Members(), rest[1].Members())
				}
			}
		})
	}
}

// Guards against a thawed member that stays out of the cell.
func TestThawedMemberReturns(t *testing.T) {
	nodes := startCluster(t, 3)
	nodes[1].frozen.Store(true)
	waitMembers(t, nodes[0], 2, 2*time.Second)
	nodes[1].frozen.Store(false)
	for _, n := range nodes {
		waitMembers(t, n, 3, 5*time.Second)
	}
}

// Guards against a planned stop that waits for the alive limit, and against a
// late list that brings the leaving member back.
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
		t.Errorf("a late list changed the members to %d", got)
	}
	if h := nodes[2].Holder("monitor/g"); h.Instance == "entry-2" {
		t.Error("a leaving instance holds a duty")
	}
}

// Guards against two processes of one name that both hold its duties: the
// newer one wins, and the older one takes over when the newer one is gone.
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

// Guards against a restart with a wall clock that went back: lists still carry
// the predecessor's greater incarnation.
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

// Guards against lists that count as life signs: a member named by a peer or
// the platform but never heard must hold no duty.
func TestListsOnlyAddPeers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := startNode(t, "entry-0", listen(t), nil, func(c *Config) { c.Clock = clock })
	ghost := Member{Instance: "entry-8", Address: "127.0.0.1:1", Incarnation: 3}
	n.mu.Lock()
	n.mergeList([]*wire.Member{ghost.toWire()}, clock.Now())
	n.mu.Unlock()
	n.applyPlatform([]platformInstance{{Name: "entry-9", Address: "127.0.0.1:2", Kind: kindEntry, State: "live"}})
	if got := n.Members(); len(got) != 1 {
		t.Errorf("members %v, want only this instance", got)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.peers) != 2 {
		t.Errorf("%d candidates, want 2", len(n.peers))
	}
}

// Guards against a candidate that is tried forever although nobody answers.
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
	}, func() string { return "the candidate is still tried" })
}

// Guards against duties that a paused process still believes to hold: during
// the pause a peer took them.
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
	duty := dutiesOf([]*node{n}, "entry-0")[0]
	clock.Advance(5 * time.Second)
	if h := n.Holder(duty); h.Instance != "entry-1" {
		t.Errorf("after a pause the duty is held by %q, want entry-1", h.Instance)
	}
	for range 8 {
		clock.Advance(100 * time.Millisecond)
		hear()
	}
	if h := n.Holder(duty); h.Instance != "entry-0" {
		t.Errorf("after the alive limit the duty is held by %q, want entry-0", h.Instance)
	}
}

// Guards against platform marks that are lost, and against a stale list that
// marks everybody and would leave no holder.
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
	waitFor(t, 2*time.Second, func() bool { return n.ServerLeaving("db-1") }, func() string { return "leaving mark not seen" })
	waitFor(t, 2*time.Second, func() bool { return unchanged.Load() > 0 }, func() string { return "unchanged list was sent again" })
	set(fmt.Sprintf(`[{"name":"entry-0","address":%q,"kind":"entry","state":"leaving"}]`, lis.Addr()))
	waitFor(t, 2*time.Second, func() bool { return !n.ServerLeaving("db-1") }, func() string { return "mark stays" })
	if got := n.Members(); len(got) != 1 {
		t.Errorf("members %v, want this instance although the platform marks it", got)
	}
}

// Guards against duties that move although their holder stays: the loss of one
// member may move only that member's duties.
func TestChooseMovesOnlyLostDuties(t *testing.T) {
	var members []Member
	for i := range 8 {
		members = append(members, Member{Instance: fmt.Sprintf("entry-%d", i)})
	}
	counts := map[string]int{}
	for i := range 800 {
		duty := fmt.Sprintf("monitor/g%d", i)
		before, _ := chooseHolder(duty, members)
		counts[before.Instance]++
		after, _ := chooseHolder(duty, members[1:])
		if before != members[0] && before != after {
			t.Fatalf("duty %s moved from %s to %s", duty, before.Instance, after.Instance)
		}
	}
	for name, n := range counts {
		if n < 50 || n > 150 {
			t.Errorf("%s holds %d of 800 duties", name, n)
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
