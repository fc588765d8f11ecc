package delegator_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/delegator"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/selector"
)

// result is what a request to a gateway returns.
type result struct {
	forwarder.Reply
	err error
}

// gateways returns the results in order, then an answer, and records the requests.
type gateways struct {
	mu       sync.Mutex
	results  []result
	requests []forwarder.Request
}

func (g *gateways) Forward(_ context.Context, _ string, r forwarder.Request) (forwarder.Reply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(r.Statements) == 0 && !r.Discard {
		return forwarder.Reply{}, errors.New("a lost gateway is asked whether it is back")
	}
	g.requests = append(g.requests, r)
	if len(g.results) == 0 {
		return forwarder.Reply{Answers: make([]exchanger.Answer, len(r.Statements))}, nil
	}
	next := g.results[0]
	g.results = g.results[1:]
	return next.Reply, next.err
}

func (g *gateways) sent() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.requests)
}

// newConn returns a connection to a server with four gateways that return the results.
func newConn(t *testing.T, results ...result) (*delegator.Conn, *gateways, *exchangertest.Cluster, *test.Hook) {
	t.Helper()
	g, clock, cluster := &gateways{results: results}, clockwork.NewRealClock(), exchangertest.New("a", "b", "c")
	log, hook := test.NewNullLogger()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	s := selector.New(selector.Config{Instance: "self", Forwarder: g, Stop: stop, Clock: clock, Log: log})
	b := connector.New(connector.Config{
		Server: cluster.Servers()[0], Limits: linker.Limits{Max: 1, Preferred: 1}, Dialer: cluster, OnDial: func(linker.Dial) {}, Clock: clock,
	})
	t.Cleanup(b.Close)
	var peers []placer.Peer
	for _, name := range []string{"w", "x", "y", "z"} {
		peers = append(peers, placer.Peer{Name: name, Address: name})
	}
	b.SetGateways(s.Gateways(peers), -1)
	d := delegator.New(delegator.Config{
		Instance: "self", Forwarder: g, Selector: s, Clock: clock, TimeOfDay: time.Now, Metrics: metrics.NewRegistry(), Log: log,
	})
	now := clock.Now()
	return d.NewConn(b, connector.Request{WaitDeadline: now.Add(time.Second), Due: now.Add(time.Second), Remaining: time.Second, IsWrite: true}), g, cluster, hook
}

// Guards against a write that is sent twice although it may have run, against one that is
// refused although another gateway could run it, and against one that asks a full server's
// gateways one after the other.
func TestNextGatewayIsAskedOnlyIfItCanHelp(t *testing.T) {
	failure := func(f forwarder.Failure) result { return result{Reply: forwarder.Reply{Failure: f}} }
	refused := func(code exchanger.Code) result {
		return result{Reply: forwarder.Reply{Failure: forwarder.Refused, Code: code}}
	}
	notReached := result{err: forwarder.ErrNotSent}
	for _, tc := range []struct {
		name    string
		results []result
		sent    int
		want    error // nil if the write runs
		ownRuns int
	}{
		{"it runs", nil, 1, nil, 0},
		{"no gateway any more", []result{failure(forwarder.NotGateway)}, 2, nil, 0},
		{"not reached", []result{notReached}, 2, nil, 0},
		{"the server accepts no more connections there", []result{refused(exchanger.TooManyConnections)}, 2, nil, 0},
		{"overloaded", []result{failure(forwarder.Overloaded)}, 1, exchanger.ErrNotSent, 0},
		{"silent", []result{failure(forwarder.Silent)}, 1, connector.ErrSilent, 0},
		{"refused by the server", []result{refused(exchanger.Busy)}, 1, exchanger.ErrNotSent, 0},
		{"answer lost on the way", []result{{err: errors.New("connection reset")}}, 1, exchanger.ErrConnectionLost, 0},
		{"answer lost at the server", []result{failure(forwarder.Lost)}, 1, exchanger.ErrConnectionLost, 0},
		{"failure of a newer version", []result{failure(forwarder.Failure(99))}, 1, exchanger.ErrConnectionLost, 0},
		{"fewer answers than statements", []result{{}}, 1, exchanger.ErrConnectionLost, 0},
		{"none reached", []result{notReached, notReached, notReached, notReached}, 3, nil, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, g, cluster, _ := newConn(t, tc.results...)
			_, err := c.Run(time.Now().Add(time.Second), linker.Context{}, exchanger.Statement{ID: "x", Kind: exchanger.Write})
			if tc.want == nil && err != nil || !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
			if isSent := errors.Is(err, exchanger.ErrConnectionLost); err != nil && isSent == errors.Is(err, exchanger.ErrNotSent) {
				t.Errorf("error %v says both or neither of run and not run", err)
			}
			if g.sent() != tc.sent || len(cluster.Ran()) != tc.ownRuns {
				t.Errorf("sent to %d gateways, want %d; ran %d times on a connection of its own, want %d", g.sent(), tc.sent, len(cluster.Ran()), tc.ownRuns)
			}
		})
	}
}

// Guards against a transaction that stays open at its gateway because the answer to its begin was
// lost, and against discards of statements that open none.
func TestBeginWithoutAnswerIsDiscarded(t *testing.T) {
	lost := result{err: errors.New("connection reset")}
	open := result{Reply: forwarder.Reply{Answers: []exchanger.Answer{{State: exchanger.InTransaction}}}}
	for _, tc := range []struct {
		name    string
		results []result
		kinds   []exchanger.Kind
		want    bool // whether the transaction is discarded
	}{
		{"begin", []result{lost}, []exchanger.Kind{exchanger.Begin}, true},
		{"read-only begin", []result{lost}, []exchanger.Kind{exchanger.BeginReadOnly}, true},
		{"statement of the transaction", []result{open, lost}, []exchanger.Kind{exchanger.Begin, exchanger.Write}, true},
		{"write outside transactions", []result{lost}, []exchanger.Kind{exchanger.Write}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, g, _, _ := newConn(t, tc.results...)
			var err error
			for _, kind := range tc.kinds {
				_, err = c.Run(time.Now().Add(time.Second), linker.Context{}, exchanger.Statement{ID: "x", Kind: kind})
			}
			if !errors.Is(err, exchanger.ErrConnectionLost) {
				t.Fatalf("error %v, want %v", err, exchanger.ErrConnectionLost)
			}
			c.Release(false)
			// A discard is sent within microseconds.
			wait := 100 * time.Millisecond
			if tc.want {
				wait = 5 * time.Second
			}
			for deadline := time.Now().Add(wait); g.sent() == len(tc.kinds) && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			discards := g.requests[len(tc.kinds):]
			if got := len(discards) == 1 && discards[0].Discard && discards[0].Transaction == g.requests[0].Transaction; got != tc.want {
				t.Errorf("sent %+v after the statements; want a discard: %v", discards, tc.want)
			}
		})
	}
}

// Guards against a transaction that stays open at its gateway because the request to discard it
// was lost, and against a gateway that has gone and is asked without end.
func TestLostDiscardIsSentAgain(t *testing.T) {
	lost := result{err: errors.New("connection reset")}
	open := result{Reply: forwarder.Reply{Answers: []exchanger.Answer{{State: exchanger.InTransaction}}}}
	for _, tc := range []struct {
		name    string
		results []result
		// want is the number of discards, wantGivenUp whether the last one was lost, too.
		want        int
		wantGivenUp bool
	}{
		{"none is lost", nil, 1, false},
		{"the first two are lost", []result{lost, lost}, 3, false},
		{"all are lost", []result{lost, lost, lost, lost, lost, lost}, 4, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, g, _, hook := newConn(t, append([]result{open}, tc.results...)...)
			if _, err := c.Run(time.Now().Add(time.Second), linker.Context{}, exchanger.Statement{ID: "begin", Kind: exchanger.Begin}); err != nil {
				t.Fatal(err)
			}
			c.Release(false)
			isGivenUp := func() bool { return len(hook.AllEntries()) > 0 }
			for deadline := time.Now().Add(5 * time.Second); g.sent() < 1+tc.want || isGivenUp() != tc.wantGivenUp; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d discards were sent, want %d; given up: %v", g.sent()-1, tc.want, isGivenUp())
				}
			}
			if n := g.sent() - 1; n != tc.want {
				t.Errorf("%d discards were sent, want %d", n, tc.want)
			}
			for _, r := range g.requests[1:] {
				if !r.Discard || r.Transaction != g.requests[0].Transaction {
					t.Errorf("sent %+v", r)
				}
			}
		})
	}
}
