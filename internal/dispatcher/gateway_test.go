package dispatcher_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

// fleetSize exceeds the connection limit of the servers, so that gateways are needed.
const fleetSize = 60

// network carries requests between the dispatchers of a test.
type network struct {
	mu      sync.Mutex
	runners map[string]forwarder.Runner
	// onForward may fail a request to an address, before or after its run.
	onForward func(address string, r forwarder.Request) (before, after error)
	forwarded atomic.Int32
}

func (n *network) Forward(ctx context.Context, address string, r forwarder.Request) (forwarder.Reply, error) {
	n.forwarded.Add(1)
	n.mu.Lock()
	runner, hook := n.runners[address], n.onForward
	n.mu.Unlock()
	var before, after error
	if hook != nil {
		before, after = hook(address, r)
	}
	if errors.Is(before, errNoPower) {
		// Nobody answers; the caller waits until its timeout.
		ctx, cancel := context.WithTimeout(ctx, r.Timeout)
		defer cancel()
		<-ctx.Done()
		return forwarder.Reply{}, ctx.Err()
	}
	if before != nil {
		return forwarder.Reply{}, before
	}
	if runner == nil {
		return forwarder.Reply{}, forwarder.ErrNotSent
	}
	r.Left = ctx.Done()
	reply := runner.RunForwarded(r)
	if ctx.Err() != nil {
		return forwarder.Reply{}, ctx.Err()
	}
	if after != nil {
		return forwarder.Reply{}, after
	}
	return reply, nil
}

func (n *network) setHook(f func(string, forwarder.Request) (before, after error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onForward = f
}

// errNoPower makes a request wait without an answer.
var errNoPower = errors.New("machine has no power")

// countingDialer counts the connections that one instance opens.
type countingDialer struct {
	exchanger.Dialer
	dials *atomic.Int32
}

func (d countingDialer) Dial(t exchanger.Target, deadline time.Time) (exchanger.Conn, error) {
	d.dials.Add(1)
	return d.Dialer.Dial(t, deadline)
}

// fleet is an instance that is no gateway of any server, and the gateways of all
// servers.
type fleet struct {
	*fixture
	net    *network
	caller *dispatcher.Dispatcher
	// dials counts the caller's own connections, gatewayDials those of the gateways.
	dials, gatewayDials atomic.Int32
	// gateways are the dispatchers of the gateways by name.
	gateways map[string]*dispatcher.Dispatcher
	// registries hold the metrics of all dispatchers.
	registries []metrics.Registry
}

func fleetPeers() []placer.Peer {
	var out []placer.Peer
	for i := range fleetSize {
		name := string(rune('A' + i))
		out = append(out, placer.Peer{Name: name, Zone: "zone-" + string(rune('a'+i%3)), Address: name})
	}
	return out
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{fixture: newFixture(t), net: &network{runners: map[string]forwarder.Runner{}}, gateways: map[string]*dispatcher.Dispatcher{}}
	peers := fleetPeers()
	gateways := map[string]bool{}
	for _, srv := range f.Servers() {
		for _, p := range placer.Gateways(srv.ID, srv.Zone, peers, placer.GatewayCount(20, fleetSize)) {
			gateways[p.Name] = true
		}
	}
	for _, p := range peers {
		switch {
		case gateways[p.Name]:
			d := f.start(t, p, countingDialer{f.Cluster, &f.gatewayDials})
			f.gateways[p.Name] = d
			f.net.runners[p.Address] = d
		case f.caller == nil:
			f.caller = f.start(t, p, countingDialer{f.Cluster, &f.dials})
		}
	}
	time.Sleep(20 * time.Millisecond)
	return f
}

func (f *fleet) start(t *testing.T, self placer.Peer, dialer exchanger.Dialer) *dispatcher.Dispatcher {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	registry := metrics.NewRegistry()
	f.registries = append(f.registries, registry)
	d := dispatcher.New(dispatcher.Config{
		Zone: self.Zone, Informer: f.informer, Dialer: dialer, Instance: self.Name, Instances: fleetPeers,
		InstancesKnown: func() bool { return true }, InstancesChanged: func() <-chan struct{} { return nil },
		Forwarder: f.net, IsCoordinator: func() bool { return false },
		AskPeers: func() {}, DrainLimit: time.Minute, Clock: &agedClock{Clock: clockwork.NewRealClock()}, TimeOfDay: time.Now, Metrics: registry, Log: log,
	})
	t.Cleanup(d.Close)
	return d
}

// Guards against a connection handshake for each request while servers allow fewer
// connections than there are instances (formosa-dots-grown: a fifth refused).
func TestStatementsGoThroughGateways(t *testing.T) {
	f := newFleet(t)
	for _, tc := range []struct {
		id    string
		kind  exchanger.Kind
		reads informer.Reads
		ranAt string
	}{
		{"w", exchanger.Write, informer.PrimaryReads, "a"},
		{"r", exchanger.Read, informer.PrimaryReads, "a"},
		{"b", exchanger.Read, informer.BoundedReads, ""},
	} {
		a := f.caller.Run(request(tc.id, tc.kind, tc.reads))
		at := f.ranAt(tc.id)
		if !a.OK() || len(at) != 1 || tc.ranAt != "" && at[0] != tc.ranAt {
			t.Errorf("%s: %v %s, ran at %v", tc.id, a.Code, a.Text, at)
		}
	}
	if n := f.dials.Load(); n != 0 {
		t.Errorf("the instance opened %d connections of its own", n)
	}
}

// Guards against a transaction that is split over several connections, and against
// one that keeps its connection after its end.
func TestTransactionThroughAGateway(t *testing.T) {
	f := newFleet(t)
	for _, tc := range []struct {
		name string
		end  func(*dispatcher.Transaction) exchanger.Answer
		ran  int
	}{
		{"commit", func(tx *dispatcher.Transaction) exchanger.Answer {
			return tx.Commit(request("commit-end", exchanger.Commit, informer.PrimaryReads))
		}, 1},
		{"rollback", func(tx *dispatcher.Transaction) exchanger.Answer {
			return tx.Rollback(request("rollback-end", exchanger.Rollback, informer.PrimaryReads))
		}, 0},
		{"abandoned", func(tx *dispatcher.Transaction) exchanger.Answer {
			tx.Abandon()
			return exchanger.Acknowledgement(exchanger.Idle)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tx := f.caller.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
			for _, id := range []string{tc.name + "-1", tc.name + "-2"} {
				if a := tx.Run(request(id, exchanger.Write, informer.PrimaryReads)); !a.OK() {
					t.Fatalf("%s: %v %s", id, a.Code, a.Text)
				}
			}
			if a := tc.end(tx); !a.OK() {
				t.Fatalf("end: %v %s", a.Code, a.Text)
			}
			if at := f.ranAt(tc.name + "-end"); len(at) != tc.ran {
				t.Errorf("its end ran at %v", at)
			}
			for name, g := range f.gateways {
				if n := g.AwaitForwardedTransactions(time.Second); n != 0 {
					t.Errorf("%d transactions are still open at %s", n, name)
				}
			}
		})
	}
}

// Guards against a wrong outcome when a gateway fails: what it may have run must not
// run again.
func TestOutcomesWhenAGatewayFails(t *testing.T) {
	errCut := errors.New("connection to the gateway is lost")
	for _, tc := range []struct {
		name          string
		before, after error
		// always makes all gateways fail, not only the first.
		always bool
		kind   exchanger.Kind
		reads  informer.Reads
		code   exchanger.Code
		ran    int
	}{
		{"write is not sent to the first", forwarder.ErrNotSent, nil, false, exchanger.Write, informer.PrimaryReads, exchanger.Success, 1},
		{"write is not sent to any", forwarder.ErrNotSent, nil, true, exchanger.Write, informer.PrimaryReads, exchanger.Success, 1},
		{"answer to a write is lost", nil, errCut, false, exchanger.Write, informer.PrimaryReads, exchanger.UnknownOutcome, 1},
		{"answer to a read is lost", nil, errCut, false, exchanger.Read, informer.BoundedReads, exchanger.Success, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t)
			if a := f.caller.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
				t.Fatal(a.Code, a.Text)
			}
			var once atomic.Bool
			f.net.setHook(func(_ string, r forwarder.Request) (before, after error) {
				if len(r.Statements) > 0 && r.Statements[0].ID == "x" && (tc.always || once.CompareAndSwap(false, true)) {
					return tc.before, tc.after
				}
				return nil, nil
			})
			a := f.caller.Run(request("x", tc.kind, tc.reads))
			if at := f.ranAt("x"); a.Code != tc.code || len(at) != tc.ran {
				t.Errorf("%v %s, ran at %v, want %v after %d runs", a.Code, a.Text, at, tc.code, tc.ran)
			}
			if own := f.dials.Load() > 0; own != (tc.always && tc.before != nil) {
				t.Errorf("a connection of its own was opened: %v", own)
			}
		})
	}
}

// Guards against a read that waits until its timeout for a gateway without power
// although another one could run it.
func TestReadsLeaveAGatewayThatIsLost(t *testing.T) {
	f := newFleet(t)
	if a := f.caller.Run(request("warm", exchanger.Read, informer.BoundedReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	unpowered := make(chan string, 1)
	f.net.setHook(func(address string, r forwarder.Request) (before, after error) {
		if len(r.Statements) > 0 && r.Statements[0].ID == "x" {
			select {
			case unpowered <- address:
				return errNoPower, nil
			default:
			}
		}
		return nil, nil
	})
	go func() {
		address := <-unpowered
		unpowered <- address
		time.Sleep(50 * time.Millisecond)
		f.caller.MarkUnreachable([]string{address})
	}()
	began := time.Now()
	a := f.caller.Run(request("x", exchanger.Read, informer.BoundedReads))
	if took := time.Since(began); !a.OK() || took > 300*time.Millisecond {
		t.Errorf("%v %s after %v", a.Code, a.Text, took)
	}
}

// Guards against a transaction that continues or commits although its gateway was
// lost.
func TestGatewayIsLostInsideATransaction(t *testing.T) {
	f := newFleet(t)
	tx := f.caller.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
	if a := tx.Run(request("t1", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	f.net.setHook(func(string, forwarder.Request) (before, after error) { return errors.New("cut"), nil })
	if a := tx.Run(request("t2", exchanger.Write, informer.PrimaryReads)); a.Code != exchanger.Aborted {
		t.Errorf("statement: %v, want aborted", a.Code)
	}
	if a := tx.Commit(request("t3", exchanger.Commit, informer.PrimaryReads)); a.Code != exchanger.Aborted || len(f.ranAt("t3")) > 0 {
		t.Errorf("commit: %v, ran at %v", a.Code, f.ranAt("t3"))
	}
}

// Guards against a stopping gateway that accepts new work, which would be cut off.
func TestStoppingGatewayTakesNoNewWork(t *testing.T) {
	f := newFleet(t)
	if a := f.caller.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	for _, g := range f.gateways {
		g.StopForwarding()
	}
	if a := f.caller.Run(request("w", exchanger.Write, informer.PrimaryReads)); !a.OK() || f.dials.Load() == 0 {
		t.Errorf("%v %s with %d connections of its own", a.Code, a.Text, f.dials.Load())
	}
	reply := f.gateways[anyOf(f.gateways)].RunForwarded(forwarder.Request{Server: "a", Statements: []exchanger.Statement{{ID: "late", Kind: exchanger.Write}}})
	if reply.Failure != forwarder.NotGateway || slices.Contains(f.Ran(), "a late") {
		t.Errorf("failure %v, ran %v", reply.Failure, f.Ran())
	}
}

func anyOf(m map[string]*dispatcher.Dispatcher) string {
	for name := range m {
		return name
	}
	return ""
}

// Guards against a plan that returns the gateways of an earlier list of instances.
func TestGatewayPlan(t *testing.T) {
	var plan dispatcher.GatewayPlan
	srv := informer.Server{ID: "a", Zone: "zone-a"}
	all := fleetPeers()
	for _, tc := range []struct {
		name  string
		peers []placer.Peer
		n     int
	}{
		{"all", all, 4},
		{"the same list again", slices.Clone(all), 4},
		{"one has left", all[1:], 4},
		{"more gateways", all[1:], 6},
		{"a fleet of two", all[:2], 4},
	} {
		want := placer.Gateways(srv.ID, srv.Zone, tc.peers, tc.n)
		if got := plan.Of(srv, tc.peers, tc.n); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", tc.name, got, want)
		}
	}
}
