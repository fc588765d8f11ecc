package informer_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/informer"
)

// Guards against news that stop at an instance which has read them itself before it is told: those
// that it passes news on to would not learn them.
func TestStaleReadsArePassedOn(t *testing.T) {
	passed := make(chan struct{}, 8)
	f := start(t, func(c *informer.Config) {
		c.IsReader = func() bool { return false }
		c.StaleInterval = 20 * time.Millisecond
		c.OnStaleChange = func() { passed <- struct{}{} }
	})
	await := func(what string) {
		t.Helper()
		select {
		case <-passed:
		case <-time.After(5 * time.Second):
			t.Fatalf("not passed on in 5 s: %s", what)
		}
	}
	f.store.Put("config/now", encode(t, informer.Configuration{Version: 1}))
	eventually(t, "version 1 is in force", func() bool { return f.version() == 1 })
	f.store.Put("config/now", encode(t, informer.Configuration{Version: 2}))
	await("a configuration")
	srv := informer.Server{ID: "s", Service: "x", Address: "a", Slots: 1, Born: 7}
	f.store.Put("backend/s", encode(t, srv))
	eventually(t, "the list is complete", f.informer.KnowsAllServers)
	srv.Draining = true
	f.store.Put("backend/s", encode(t, srv))
	await("a server that drains")
	if len(f.notified) > 0 {
		t.Error("all other instances were told")
	}
}
