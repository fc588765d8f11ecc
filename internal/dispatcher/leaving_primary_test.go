package dispatcher_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// Guards against new work for a draining server that still leads, or leads again, after the time
// for which it accepts work at least: it may end at any moment, and writes on their way to it
// then have no known outcome.
func TestLeavingPrimaryGetsNoNewWork(t *testing.T) {
	const limit = 3 * time.Second
	f := newFixtureOf(t, 50*time.Millisecond, func(c *dispatcher.Config) { c.DrainLimit = limit })
	run := map[string]func(id string) exchanger.Answer{
		"write":          func(id string) exchanger.Answer { return f.d.Run(request(id, exchanger.Write, informer.PrimaryReads)) },
		"strict read":    func(id string) exchanger.Answer { return f.d.Run(request(id, exchanger.Read, informer.PrimaryReads)) },
		"bounded write":  func(id string) exchanger.Answer { return f.d.Run(request(id, exchanger.Write, informer.BoundedReads)) },
		"transaction":    func(id string) exchanger.Answer { return begin(f, id, exchanger.Begin, informer.PrimaryReads) },
		"strict reads":   func(id string) exchanger.Answer { return begin(f, id, exchanger.BeginReadOnly, informer.PrimaryReads) },
		"session writes": func(id string) exchanger.Answer { return begin(f, id, exchanger.Begin, informer.SessionReads) },
	}
	if a := run["write"]("warm"); !a.OK() {
		t.Fatalf("warm-up: %v %s", a.Code, a.Text)
	}
	for deadline := time.Now().Add(5 * time.Second); !f.informer.KnowsAllServers() || f.informer.List().ReadAt.IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the servers are not known")
		}
	}
	open := f.d.Begin(request("open", exchanger.Begin, informer.PrimaryReads))
	if a := open.Run(request("open 1", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatalf("open transaction: %v %s", a.Code, a.Text)
	}
	f.drain(t, "a")
	drained := time.Now()
	// On a busy machine the last list without the sign may be old.
	mayRefuse := func() bool {
		srv, _ := f.informer.State().Server("service", "a")
		return srv.Draining && time.Since(srv.DrainingAfter) > limit/2
	}
	for name, send := range run {
		if a := send("early " + name); !a.OK() && !mayRefuse() {
			t.Errorf("%s at once: %v %s, want success", name, a.Code, a.Text)
		}
	}
	time.Sleep(time.Until(drained.Add(limit)))
	for name, send := range run {
		if a := send("late " + name); a.Code != exchanger.Busy || len(f.ranAt("late "+name)) > 0 {
			t.Errorf("%s at the leaving primary: %v %s, ran at %v, want busy", name, a.Code, a.Text, f.ranAt("late "+name))
		}
	}
	// Work that has begun goes on.
	if a := open.Run(request("open 2", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Errorf("open transaction at the leaving primary: %v %s", a.Code, a.Text)
	}
	if a := open.Commit(request("open 3", exchanger.Commit, informer.PrimaryReads)); !a.OK() {
		t.Errorf("commit at the leaving primary: %v %s", a.Code, a.Text)
	}
	f.MakePrimary("b", 2, true)
	deadline := time.Now().Add(5 * time.Second)
	for name, send := range run {
		for a := send("next " + name); !a.OK(); a = send("next " + name) {
			if time.Now().After(deadline) {
				t.Fatalf("%s at the next primary: %v %s", name, a.Code, a.Text)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// begin runs the first statement of a transaction, and rolls it back.
func begin(f *fixture, id string, kind exchanger.Kind, reads informer.Reads) exchanger.Answer {
	tx := f.d.Begin(request("begin "+id, kind, reads))
	defer tx.Abandon()
	return tx.Run(request(id, exchanger.Read, reads))
}
