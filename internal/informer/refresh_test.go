package informer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/internal/storer/storertest"
)

// Guards against a list that was read and merged and counts as failed, because it is also
// the first to show a server that drains, and instances that are told of it answer late.
func TestRefreshDoesNotWaitForOtherInstances(t *testing.T) {
	f := start(t, func(c *informer.Config) {
		c.ListInterval = func() time.Duration { return time.Hour }
		c.LinearizableEvery = func() int { return 1 }
		c.OnChange = func() { time.Sleep(600 * time.Millisecond) }
	})
	srv := informer.Server{ID: "s", Service: "x", Address: "a", Slots: 1, Born: 7}
	f.store.Put("backend/s", encode(t, srv))
	eventually(t, "the list is complete", func() bool { return f.informer.Refresh() == nil && f.informer.KnowsAllServers() })
	srv.Draining = true
	f.store.Put("backend/s", encode(t, srv))
	began := time.Now()
	if err := f.informer.Refresh(); err != nil {
		got, _ := f.informer.State().Server("x", "s")
		t.Errorf("after %v: %v; the list was merged: %v", time.Since(began).Round(time.Millisecond), err, got.Draining)
	}
}

// slowStore delays lists.
type slowStore struct {
	*storertest.Memory
	delay time.Duration
}

func (s slowStore) List(ctx context.Context, prefix string) ([]storer.Entry, int64, error) {
	time.Sleep(s.delay)
	return s.Memory.List(ctx, prefix)
}

func (s slowStore) ListStale(ctx context.Context, prefix string) ([]storer.Entry, int64, error) {
	return s.List(ctx, prefix)
}

// Guards against changes of primary in several services that cannot list the servers at
// once while the store takes less than the limit of a list.
func TestRefreshesOfSeveralServicesWithASlowStore(t *testing.T) {
	var store slowStore
	f := start(t, func(c *informer.Config) {
		store = slowStore{c.Store.(*storertest.Memory), 300 * time.Millisecond}
		c.Store = store
		c.ListInterval = func() time.Duration { return time.Hour }
	})
	f.store.Put("backend/s", encode(t, informer.Server{ID: "s", Service: "x", Address: "a", Slots: 1, Born: 7}))
	eventually(t, "the servers are listed", f.informer.HasServerList)
	time.Sleep(time.Second)
	first := make(chan error, 1)
	go func() { first <- f.informer.Refresh() }()
	time.Sleep(50 * time.Millisecond)
	if err := f.informer.Refresh(); err != nil {
		t.Errorf("second service: %v", err)
	}
	if err := <-first; err != nil {
		t.Errorf("first service: %v", err)
	}
}

// Guards against lists that decode all entries again although nearly all are those of the last
// one: a fleet of 300 instances has 2,600 servers, and each instance lists them every few seconds.
func TestUnchangedEntriesAreDecodedOnce(t *testing.T) {
	var decodes atomic.Int64
	f := start(t, func(c *informer.Config) {
		c.ListInterval = func() time.Duration { return time.Hour }
		decode := c.Schema.DecodeServer
		c.Schema.DecodeServer = func(key string, value []byte) (informer.Server, error) {
			decodes.Add(1)
			return decode(key, value)
		}
	})
	put := func(id, address string) {
		f.store.Put("backend/"+id, encode(t, informer.Server{Service: "x", Address: address, Slots: 1, Born: 7}))
	}
	put("a", "1")
	put("b", "1")
	f.store.Put("backend/odd", []byte("{"))
	eventually(t, "the servers are listed", f.informer.HasServerList)
	// The first list may have begun before all entries were written.
	if err := f.informer.Refresh(); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		name    string
		do      func()
		decodes int64
		want    int
	}{
		// The odd entry is decoded with each list.
		{"no change", func() {}, 1, 2},
		{"new server", func() { put("c", "1") }, 2, 3},
		{"entry written again", func() { put("c", "1") }, 1, 3},
		{"server that is gone", func() { f.store.Delete("backend/c") }, 1, 3},
		{"its entry is back", func() { put("c", "1") }, 2, 3},
	} {
		step.do()
		before := decodes.Load()
		if err := f.informer.Refresh(); err != nil {
			t.Fatal(err)
		}
		if got := decodes.Load() - before; got != step.decodes {
			t.Errorf("%s: %d entries were decoded, want %d", step.name, got, step.decodes)
		}
		if got := len(f.informer.State().ServersOf("x")); got != step.want {
			t.Errorf("%s: %d servers, want %d", step.name, got, step.want)
		}
	}
}
