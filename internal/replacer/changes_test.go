package replacer_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/informer/informertest"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/replacer"
	"marigoldhub.example/hub/internal/storer/storertest"
	"marigoldhub.example/hub/internal/tracker"
)

// By hand: go test ./internal/replacer -run TestChangesUnderFaults -changes.seeds=200.
var (
	changesSeeds = flag.Int("changes.seeds", 12, "number of seeds of TestChangesUnderFaults and TestChangesOfServers")
	changesFirst = flag.Uint64("changes.first", 1, "first seed of TestChangesUnderFaults and TestChangesOfServers")
	changesKinds = flag.String("changes.kinds", "join,leave,lapse,receive,empty,rename,takeover", "kinds of faults that TestChangesOfServers adds")
)

const (
	changesInstances = 3
	changesLength    = 6 * time.Second
	changesSettle    = 12 * time.Second
	// maxListInterval is the longest pause between two lists of an instance.
	maxListInterval = 3 * time.Second
	// serversSettle also covers a failover that waits for a server whose entry is gone.
	serversSettle = 45 * time.Second
)

// instance is one instance with its own paths to the servers.
type instance struct {
	*changes
	name     string
	informer *informer.Informer
	d        *dispatcher.Dispatcher
	// election and replacer are nil if the instance is never the coordinator.
	election *election
	replacer *replacer.Replacer

	mu  sync.Mutex
	cut map[string]bool
}

// Dial implements [exchanger.Dialer]. While the instance is cut off a server, nothing
// answers.
func (n *instance) Dial(t exchanger.Target, deadline time.Time) (exchanger.Conn, error) {
	if err := n.awaitPath(t.ServerID, deadline); err != nil {
		return nil, err
	}
	conn, err := n.Cluster.Dial(t, deadline)
	return &cutConn{conn, n, t.ServerID}, err
}

func (n *instance) awaitPath(server string, deadline time.Time) error {
	for n.isCut(server) {
		if time.Now().After(deadline) {
			return exchanger.ErrConnectionLost
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}

func (n *instance) isCut(server string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[server]
}

func (n *instance) setCut(server string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[server] = cut
}

// cutConn is a connection that answers nothing while its instance is cut off the server.
type cutConn struct {
	exchanger.Conn
	n      *instance
	server string
}

func (c *cutConn) Exchange(deadline time.Time, statements ...exchanger.Statement) ([]exchanger.Answer, error) {
	if err := c.n.awaitPath(c.server, deadline); err != nil {
		return nil, err
	}
	answers, err := c.Conn.Exchange(deadline, statements...)
	if err == nil {
		err = c.n.awaitPath(c.server, deadline)
	}
	return answers, err
}

// changes is a cluster before instances whose first one is the coordinator.
type changes struct {
	*exchangertest.Cluster
	t         *testing.T
	store     *storertest.Memory
	instances []*instance
	// servers is true if servers join and leave, their entries lapse, and the coordinator
	// changes.
	servers bool
	trace   *trace

	mu       sync.Mutex
	rng      *rand.Rand
	draining map[string]bool
	// unlisted are servers that run without an entry.
	unlisted map[string]bool
	joined   int
	// leavingNow is the number of servers that are leaving.
	leavingNow int
	// joinedAt is when servers that were not there from the start joined.
	joinedAt map[string]time.Time
	// busy are servers that a track of faults uses.
	busy        map[string]bool
	coordinator int
	token       int64
	acked       []string
	unknown     int
}

func (c *changes) random(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// Promote implements [replacer.Promoter]. Some calls fail, and some of these take effect.
func (c *changes) Promote(ctx context.Context, service, id, coordinator string, token int64) error {
	if c.servers {
		c.SetPromoteDelay(time.Duration(300+c.random(300)) * time.Millisecond)
		c.mu.Lock()
		old := token < c.token
		c.token = max(c.token, token)
		c.mu.Unlock()
		c.trace.add("%s calls for %s with token %d, refused: %v", coordinator, id, token, old)
		if old {
			return errors.New("the fencing token is old")
		}
	}
	switch c.random(6) {
	case 0:
		return errors.New("the call was lost")
	case 1:
		c.Cluster.Promote(ctx, service, id, coordinator, token)
		return errors.New("the answer was lost")
	}
	return c.Cluster.Promote(ctx, service, id, coordinator, token)
}

// Broadcast implements [replacer.Peers]: all instances learn the newest primary that one
// of them knows, and the newest list of servers.
func (c *changes) Broadcast(context.Context) int {
	c.tellLeader()
	if !c.servers {
		return 0
	}
	time.Sleep(c.between(time.Millisecond, 30*time.Millisecond))
	var list informer.List
	for _, n := range c.instances {
		if l := n.informer.List(); l.Revision > list.Revision {
			list = l
		}
	}
	for _, n := range c.instances {
		n.informer.OfferList(list)
	}
	return 0
}

// tellLeader tells all instances of the newest primary that one of them knows.
func (c *changes) tellLeader() {
	var best attester.Leader
	for _, n := range c.instances {
		if l, ok := n.d.Group(exchangertest.Service).Leader(); ok && l.Term > best.Term {
			best = l
		}
	}
	for _, n := range c.instances {
		if g := n.d.Group(exchangertest.Service); best.Term > g.Term() {
			g.Learn(best, "another instance")
		}
	}
}

// Acknowledged implements [replacer.Peers]. Nothing is known, so that only the fence and
// the proofs keep commits.
func (c *changes) Acknowledged(string) tracker.Position { return tracker.Position{} }

func (c *changes) putServers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, srv := range c.Servers() {
		if c.unlisted[srv.ID] {
			continue
		}
		srv.Draining = c.draining[srv.ID]
		value, err := json.Marshal(srv)
		if err != nil {
			c.t.Error(err)
		}
		c.store.Put("backend/"+srv.ID, value)
	}
}

func newChanges(t *testing.T, seed uint64, servers bool) *changes {
	c := &changes{
		Cluster: exchangertest.New("a", "b", "c"), t: t, store: storertest.New(), servers: servers, trace: newTrace(),
		rng: rand.New(rand.NewPCG(seed, 0)), draining: map[string]bool{}, unlisted: map[string]bool{}, joinedAt: map[string]time.Time{}, busy: map[string]bool{}, token: 3,
	}
	c.PromoteDelay = 300 * time.Millisecond
	c.OnPromoted = c.trace.addPromotion
	c.putServers()
	config, err := json.Marshal(informer.Configuration{Version: 1, Services: map[string]informer.Service{
		exchangertest.Service: {Name: exchangertest.Service, SyncReplicas: 1},
	}})
	if err != nil {
		t.Fatal(err)
	}
	c.store.Put("config/now", config)
	for i := range changesInstances {
		c.instances = append(c.instances, c.newInstance(fmt.Sprintf("i%d", i)))
	}
	for i, n := range c.instances {
		if i == 0 || servers {
			n.coordinate()
		}
	}
	c.instances[0].election.token.Store(3)
	return c
}

// coordinate makes the instance one that may be the coordinator.
func (n *instance) coordinate() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(traceHook{n.trace, n.name})
	n.election = &election{}
	n.replacer = replacer.New(replacer.Config{
		Name: n.name, Informer: n.informer, Backends: n.d, Promoter: n.changes, Election: n.election, Peers: n.changes, PrimaryLeaseTTL: leaseTTL,
		Clock: clockwork.NewRealClock(), Metrics: metrics.NewRegistry(), Log: log,
	})
	n.t.Cleanup(n.replacer.Close)
}

func discard() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func (c *changes) newInstance(name string) *instance {
	clock := clockwork.NewRealClock()
	n := &instance{changes: c, name: name, cut: map[string]bool{}}
	listInterval := 50 * time.Millisecond
	if c.servers {
		listInterval = c.between(listInterval, maxListInterval)
	}
	n.informer = informer.New(informer.Config{
		Store: c.store, Clock: clock, Log: discard(), Schema: informertest.Schema(),
		ListInterval: func() time.Duration { return listInterval }, LinearizableEvery: func() int { return 1 }, RemoveAfter: removeAfter,
		CheckInterval: func() time.Duration { return time.Hour }, OnChange: func() {},
	})
	n.d = dispatcher.New(dispatcher.Config{
		Zone: "zone-b", Informer: n.informer, Dialer: n, Instance: name,
		Instances:      func() []placer.Peer { return []placer.Peer{{Name: name, Zone: "zone-b"}} },
		InstancesKnown: func() bool { return true }, InstancesChanged: func() <-chan struct{} { return nil }, IsCoordinator: func() bool { return c.isCoordinator(name) },
		AskPeers: func() {}, DrainLimit: time.Minute, Clock: clock, TimeOfDay: time.Now, Metrics: metrics.NewRegistry(), Log: discard(),
	})
	c.t.Cleanup(func() {
		n.d.Close()
		n.informer.Close()
	})
	return n
}

// isCoordinator reports whether the instance is the coordinator.
func (c *changes) isCoordinator(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return name == fmt.Sprintf("i%d", c.coordinator)
}

// grantLeases returns the leases that the coordinator grants now.
func (c *changes) grantLeases() []replacer.PrimaryLease {
	c.mu.Lock()
	n := c.instances[c.coordinator]
	c.mu.Unlock()
	return n.replacer.GrantLeases()
}

// requestLeases keeps the leases of an instance up to date until stop is closed.
func (n *instance) requestLeases(stop chan struct{}) {
	for !isClosed(stop, 100*time.Millisecond) {
		asked := time.Now()
		for _, l := range n.grantLeases() {
			g := n.d.Group(l.Service)
			if l.Next != "" {
				g.ExtendSwitchover(l.Leader.Server.ID, l.Next, l.Leader.Term, asked.Add(leaseTTL))
			} else {
				g.ExtendLease(l.Leader.Server.ID, l.Leader.Term, asked.Add(leaseTTL))
			}
		}
	}
}

// write runs writes until stop is closed.
func (n *instance) write(stop chan struct{}, caller int) {
	for i := 0; !isClosed(stop, 10*time.Millisecond); i++ {
		id := fmt.Sprintf("%s-%d-%d", n.name, caller, i)
		a := n.d.Run(dispatcher.Request{
			Statement: exchanger.Statement{ID: id, Kind: exchanger.Write, Text: id}, Context: linker.Context{Values: map[string]string{}},
			Route: informer.Route{
				Name: "r", Database: "d", Service: exchangertest.Service, Reads: informer.PrimaryReads,
				StatementTimeout: 800 * time.Millisecond, Objective: 150 * time.Millisecond,
			},
			Received: time.Now(),
		})
		if a.Code == exchanger.Success && n.servers {
			n.trace.add("%s was told of %s, which %v have", n.name, id, n.Holders(id))
		}
		n.changes.mu.Lock()
		switch a.Code {
		case exchanger.Success:
			n.acked = append(n.acked, id)
		case exchanger.UnknownOutcome:
			n.unknown++
		}
		n.changes.mu.Unlock()
	}
}

func isClosed(stop chan struct{}, wait time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// disturb makes random faults, two tracks at a time, most of them while a change of
// primary is likely to be under way.
func (c *changes) disturb() {
	until := time.Now().Add(changesLength)
	var tracks sync.WaitGroup
	for range 2 {
		tracks.Go(func() {
			for time.Now().Before(until) {
				id := []string{"a", "b", "c"}[c.random(3)]
				lasts := time.Duration(50+c.random(900)) * time.Millisecond
				switch c.random(5) {
				case 0:
					c.SetDown(id, true)
					time.Sleep(lasts)
					c.SetDown(id, false)
				case 1, 2:
					c.SetDown(id, true)
					time.Sleep(lasts / 10)
					c.Restart(id, false)
					c.SetDown(id, false)
					c.putServers()
				case 3:
					n := c.instances[c.random(len(c.instances))]
					n.setCut(id, true)
					time.Sleep(2 * lasts)
					n.setCut(id, false)
				case 4:
					c.drain(id, true)
					time.Sleep(lasts)
					c.drain(id, false)
				}
				time.Sleep(time.Duration(c.random(300)) * time.Millisecond)
			}
		})
	}
	tracks.Wait()
}

func (c *changes) drain(id string, draining bool) {
	c.mu.Lock()
	c.draining[id] = draining
	c.mu.Unlock()
	c.putServers()
}

// acknowledged returns how many commits callers were told of.
func (c *changes) acknowledged() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.acked)
}

// Guards against the loss of acknowledged commits around changes of primary, by random
// restarts, crashes, cuts between an instance and a server, servers that leave, and lost
// promote calls.
func TestChangesUnderFaults(t *testing.T) {
	for i := range *changesSeeds {
		seed := *changesFirst + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			newChanges(t, seed, false).play(seed)
		})
	}
}

// play runs the faults of the seed and checks that no acknowledged commit is lost.
func (c *changes) play(seed uint64) {
	t := c.t
	// An entry that lapses before an instance has listed it shows the instance no server to
	// fence (see disturbServer). The replacers record the lists every 100 ms.
	eventually(t, changesSettle, "all instances have listed the servers", func() bool {
		return !slices.ContainsFunc(c.instances, func(n *instance) bool {
			return len(n.informer.State().ServersOf(exchangertest.Service)) < len(c.Servers())
		})
	})
	time.Sleep(200 * time.Millisecond)
	stop, stopWriting := make(chan struct{}), make(chan struct{})
	var running, writing sync.WaitGroup
	for _, n := range c.instances {
		running.Go(func() { n.requestLeases(stop) })
		for caller := range 2 {
			writing.Go(func() { n.write(stopWriting, caller) })
		}
	}
	running.Go(func() {
		for !isClosed(stop, 200*time.Millisecond) {
			c.CatchUp()
			c.tellLeader()
		}
	})
	settle := changesSettle
	if c.servers {
		settle = serversSettle
		running.Go(func() { c.changeCoordinator(stop) })
		c.disturbServers(strings.Split(*changesKinds, ","))
	} else {
		c.disturb()
	}
	before := c.acknowledged()
	defer func() {
		if c.acknowledged() <= before+20 {
			c.trace.logEnd(t)
		}
	}()
	eventually(t, settle, "commits are acknowledged after the faults", func() bool { return c.acknowledged() > before+20 })
	close(stopWriting)
	writing.Wait()
	// A change may be under way: while no server leads, there is no log to check.
	var entries []string
	eventually(t, settle, "a server leads", func() bool {
		entries = c.Entries()
		return entries != nil
	})
	close(stop)
	running.Wait()
	lost := slices.DeleteFunc(slices.Clone(c.acked), func(id string) bool { return slices.Contains(entries, id) })
	if len(lost) > 0 {
		t.Errorf("%d of %d acknowledged commits are lost, the first: %s; promoted: %v",
			len(lost), len(c.acked), strings.Join(lost[:min(3, len(lost))], ", "), c.Promotions())
		c.trace.logLoss(t, lost)
	}
	t.Logf("seed %d: %d acknowledged, %d unknown, promoted %v", seed, len(c.acked), c.unknown, c.Promotions())
}
