package distributor

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/standin/platform"
)

// directory is a fixed list of members that can be changed by the test.
type directory struct {
	mu      sync.Mutex
	self    enroller.Member
	members []enroller.Member
	changed chan struct{}
}

func (d *directory) Self() enroller.Member { return d.self }

func (d *directory) Members() []enroller.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

func (d *directory) Holder(string) enroller.Member { return d.Members()[0] }

func (d *directory) HolderInZone(_, zone string) (enroller.Member, bool) {
	for _, m := range d.Members() {
		if m.Zone == zone {
			return m, true
		}
	}
	return enroller.Member{}, false
}

func (d *directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *directory) set(members []enroller.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = members
	close(d.changed)
	d.changed = make(chan struct{})
}

// node is one instance of the cluster.
type node struct {
	*Distributor
	directory *directory
	recorder  *recorder.Recorder
	listener  net.Listener
	store     storer.Store
}

// cluster consists of a stand-in of the platform, two co-owners and some
// instances.
type cluster struct {
	t        testing.TB
	platform *platform.Platform
	genesis  []approver.Owner
	signers  [2]approver.Signer
	ops      *approver.Proposals
	nodes    []*node
	members  []enroller.Member
	pool     *messenger.Pool
	mode     Mode
	interval time.Duration
	// isolated is a zone whose instances have no store.
	isolated string
}

func discardLog() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	p, err := platform.Start(platform.Config{Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, platform: p, pool: messenger.NewPool(messenger.PoolConfig{}), interval: 100 * time.Millisecond}
	t.Cleanup(c.close)
	for i := range c.signers {
		s, err := approver.GenerateSigner()
		if err != nil {
			t.Fatal(err)
		}
		c.signers[i] = s
	}
	c.genesis = []approver.Owner{
		{Name: "cooperative", Keys: []approver.OwnerKey{c.signers[0].Key()}},
		{Name: "council-unit", Keys: []approver.OwnerKey{c.signers[1].Key()}},
	}
	c.ops, err = approver.NewProposals(approver.Config{Store: c.storeClient(nil), Genesis: c.genesis, Operator: "ann"})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.Close()
		n.listener.Close()
	}
	c.pool.Close()
	c.platform.Close()
}

func (c *cluster) storeClient(r metrics.Registry) *storer.EtcdClient {
	return storer.NewEtcdClient(storer.Config{Endpoints: []string{"http://" + c.platform.Addr()}, Metrics: r})
}

// start adds an instance in each given zone. All instances know all others.
func (c *cluster) start(zones ...string) {
	c.t.Helper()
	var added []*node
	for _, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.t.Fatal(err)
		}
		var store storer.Store
		if zone != c.isolated {
			store = c.storeClient(nil)
		}
		m := enroller.Member{Instance: fmt.Sprintf("i%d", len(c.members)), Address: l.Addr().String(), Zone: zone}
		c.members = append(c.members, m)
		added = append(added, &node{
			directory: &directory{self: m, changed: make(chan struct{})},
			recorder:  recorder.New(m.Instance, 1000, clockwork.NewRealClock()),
			listener:  l,
			store:     store,
		})
	}
	c.nodes = append(c.nodes, added...)
	for _, n := range c.nodes {
		n.directory.set(c.members)
	}
	for _, n := range added {
		c.run(n)
	}
}

func (c *cluster) run(n *node) {
	c.t.Helper()
	d, err := New(Config{
		Genesis: c.genesis, Store: n.store, Directory: n.directory, Dialer: c.pool, Recorder: n.recorder,
		Log: discardLog(), Mode: c.mode, DigestInterval: c.interval, PollInterval: 200 * time.Millisecond, StaleAfter: time.Second,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	n.Distributor = d
	srv := messenger.NewServer(messenger.ServerConfig{Listener: n.listener, Log: discardLog()})
	if err := d.Register(srv.Mux()); err != nil {
		c.t.Fatal(err)
	}
	srv.Start()
	c.t.Cleanup(func() { srv.Close() })
}

// activate proposes content of a part and approves it with both signers.
func (c *cluster) activate(part, content string) approver.Envelope {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p, _, err := c.ops.Propose(ctx, part, []byte(content))
	if err != nil {
		c.t.Fatal(err)
	}
	for _, s := range c.signers {
		r, err := c.ops.Review(ctx, part)
		if err != nil {
			c.t.Fatal(err)
		}
		if _, err := c.ops.Approve(ctx, r, s); err != nil {
			c.t.Fatal(err)
		}
	}
	return c.sign(p.Envelope)
}

func (c *cluster) sign(e approver.Envelope) approver.Envelope {
	for i, s := range c.signers {
		e = e.WithApproval(s.Approve(e, c.genesis[i].Name))
	}
	return e
}

func (c *cluster) activateGenesis() { c.activate("owners", approver.FormatOwners(c.genesis)) }

// wait waits until the condition holds at every instance.
func (c *cluster) wait(what string, condition func(*node) bool) {
	c.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		all := true
		for _, n := range c.nodes {
			all = all && condition(n)
		}
		if all {
			return
		}
		if time.Now().After(deadline) {
			for _, n := range c.nodes {
				ready, reason := n.Ready()
				c.t.Logf("%s: ready %v %q, parts %+v", n.directory.self.Instance, ready, reason, n.Parts())
			}
			c.t.Fatalf("timeout: %s", what)
		}
	}
}

func (n *node) revision(part string) uint64 {
	for _, p := range n.Parts() {
		if p.Part == part {
			return p.Revision
		}
	}
	return 0
}

func (n *node) events(kind string) int {
	count := 0
	for _, e := range n.recorder.Events() {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

func content(part, group string, limit int) string {
	return strings.NewReplacer("PART", part, "GROUP", group, "LIMIT", fmt.Sprint(limit)).Replace(`part = "PART"
[[group]]
name = "GROUP"
database = "GROUP"
server_user = "marigold"
server = [{ name = "a-1", address = "127.1.1.1:5432", zone = "z", connection_limit = LIMIT }]
`)
}
