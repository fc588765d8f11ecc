package dispatcher_test

import (
	"encoding/json"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/informer/informertest"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/storer/storertest"
)

// fixture is a dispatcher with a cluster of servers in memory.
type fixture struct {
	*exchangertest.Cluster
	store    *storertest.Memory
	d        *dispatcher.Dispatcher
	informer *informer.Informer
}

// newFixture returns a dispatcher with servers a, b and c, and unlisted ones whose entries
// are not in the store.
func newFixture(t *testing.T, unlisted ...string) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*dispatcher.Config) {}, unlisted...)
}

// newFixtureWith is newFixture with a changed configuration of the dispatcher.
func newFixtureWith(t *testing.T, change func(*dispatcher.Config), unlisted ...string) *fixture {
	t.Helper()
	return newFixtureOf(t, time.Hour, change, unlisted...)
}

// newFixtureOf is newFixtureWith for an informer that removes servers after the time, and knows
// all servers after it.
func newFixtureOf(t *testing.T, removeAfter time.Duration, change func(*dispatcher.Config), unlisted ...string) *fixture {
	t.Helper()
	store := storertest.New()
	f := &fixture{Cluster: exchangertest.New(append([]string{"a", "b", "c"}, unlisted...)...), store: store}
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := clockwork.NewRealClock()
	f.informer = informer.New(informer.Config{
		Store: store, Clock: clock, Log: log,
		Schema:       informertest.Schema(),
		ListInterval: func() time.Duration { return 20 * time.Millisecond }, LinearizableEvery: func() int { return 1 }, RemoveAfter: removeAfter,
		CheckInterval: func() time.Duration { return time.Hour }, OnChange: func() {},
	})
	for _, srv := range f.Servers() {
		if slices.Contains(unlisted, srv.ID) {
			continue
		}
		value, err := json.Marshal(srv)
		if err != nil {
			t.Fatal(err)
		}
		store.Put("backend/"+srv.ID, value)
	}
	cfg := dispatcher.Config{
		Zone: "zone-b", Informer: f.informer, Dialer: f.Cluster,
		Instance: "i1", Instances: func() []placer.Peer { return []placer.Peer{{Name: "i1", Zone: "zone-b"}} },
		InstancesKnown: func() bool { return true }, InstancesChanged: func() <-chan struct{} { return nil },
		IsCoordinator: func() bool { return false },
		AskPeers:      func() {}, DrainLimit: time.Minute, Clock: clock, TimeOfDay: time.Now, Metrics: metrics.NewRegistry(), Log: log,
	}
	change(&cfg)
	cfg.Clock = &agedClock{Clock: cfg.Clock}
	f.d = dispatcher.New(cfg)
	t.Cleanup(func() {
		f.d.Close()
		f.informer.Close()
	})
	for deadline := time.Now().Add(5 * time.Second); len(f.informer.State().ServersOf(exchangertest.Service)) < 3; {
		if time.Now().After(deadline) {
			t.Fatal("servers are not listed")
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	return f
}

// agedClock is a clock whose first reading is an hour early. A dispatcher that is made with
// it counts as started then and has its whole share of connections.
type agedClock struct {
	clockwork.Clock
	once sync.Once
}

// Now implements [clockwork.Clock].
func (c *agedClock) Now() time.Time {
	now := c.Clock.Now()
	c.once.Do(func() { now = now.Add(-time.Hour) })
	return now
}

func route(reads informer.Reads) informer.Route {
	return informer.Route{
		Name: "r", Database: "d", Service: exchangertest.Service, Reads: reads, MaxStaleness: time.Second,
		StatementTimeout: 800 * time.Millisecond, Objective: 400 * time.Millisecond, Priority: 1,
	}
}

func request(id string, kind exchanger.Kind, reads informer.Reads) dispatcher.Request {
	return dispatcher.Request{
		Statement: exchanger.Statement{ID: id, Kind: kind, Text: id}, Context: linker.Context{Values: map[string]string{}},
		Route: route(reads), Received: time.Now(),
	}
}

// ranAt returns the servers that ran the request.
func (f *fixture) ranAt(id string) []string {
	var at []string
	for _, r := range f.Ran() {
		if server, ran, _ := cut(r); ran == id {
			at = append(at, server)
		}
	}
	return at
}

func cut(s string) (server, id string, ok bool) {
	for i := range s {
		if s[i] == ' ' {
			return s[:i], s[i+1:], true
		}
	}
	return s, "", false
}

// drain marks a server as draining.
func (f *fixture) drain(t *testing.T, id string) {
	t.Helper()
	for _, srv := range f.Servers() {
		if srv.ID != id {
			continue
		}
		srv.Draining = true
		value, err := json.Marshal(srv)
		if err != nil {
			t.Fatal(err)
		}
		f.store.Put("backend/"+id, value)
	}
}
