package dispatcher_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// Guards against full servers that are asked several times for each request: the tries after
// the first are bounded by a part of the requests. Guards also against a single refusal after
// which a request is not tried again, and against refusals for lack of further tries that tell
// no time to return.
func TestFullServerIsNotAskedOverAndOver(t *testing.T) {
	begin := func(f *fixture, id string) exchanger.Answer {
		tx := f.d.Begin(request(id, exchanger.Begin, informer.PrimaryReads))
		defer tx.Abandon()
		return tx.Run(request(id, exchanger.Write, informer.PrimaryReads))
	}
	for _, tc := range []struct {
		name string
		run  func(f *fixture, id string) exchanger.Answer
		// asked tells the statements that ask for a place in the queue.
		asked func(exchanger.Statement) bool
	}{
		{"writes", func(f *fixture, id string) exchanger.Answer {
			return f.d.Run(request(id, exchanger.Write, informer.PrimaryReads))
		}, func(s exchanger.Statement) bool { return strings.HasPrefix(s.ID, "q") }},
		{"transactions", begin, func(s exchanger.Statement) bool { return s.Kind == exchanger.Begin }},
		{"reads of the primary", func(f *fixture, id string) exchanger.Answer {
			return f.d.Run(request(id, exchanger.Read, informer.PrimaryReads))
		}, func(s exchanger.Statement) bool { return strings.HasPrefix(s.ID, "q") }},
		{"reads of any server", func(f *fixture, id string) exchanger.Answer {
			return f.d.Run(request(id, exchanger.Read, informer.BoundedReads))
		}, func(s exchanger.Statement) bool { return strings.HasPrefix(s.ID, "q") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// The servers are reported to be full.
			f := newFixtureWith(t, func(cfg *dispatcher.Config) { cfg.WaitAt = func(string) time.Duration { return time.Second } })
			if a := tc.run(f, "warm"); !a.OK() {
				t.Fatal(a.Code, a.Text)
			}
			var asked atomic.Int32
			f.OnStatement = func(_ string, s exchanger.Statement) {
				if tc.asked(s) {
					asked.Add(1)
				}
			}
			setBusy := func(isBusy bool) {
				for _, srv := range f.Servers() {
					f.SetBusy(srv.ID, isBusy)
				}
			}
			setBusy(true)
			const requests = 60
			for i := range requests {
				if a := tc.run(f, fmt.Sprint("q", i)); a.Code != exchanger.Busy {
					t.Fatalf("%v %s, want busy", a.Code, a.Text)
				}
				if i == 0 && asked.Load() < 2 {
					t.Error("the first request is not tried again")
				}
			}
			// The budget is used up.
			if a := tc.run(f, "q-last"); !returnTime.MatchString(a.Text) {
				t.Errorf("%q, want a time", a.Text)
			}
			// The tries after the first are a fifth of the requests, and the 20 saved up.
			n, most := int(asked.Load()), requests+1+requests/5+20
			t.Logf("%d tries for %d requests", n, requests)
			if n > most {
				t.Errorf("the server was asked %d times for %d requests, want at most %d", n, requests, most)
			}
			setBusy(false)
			if a := tc.run(f, "after"); !a.OK() {
				t.Errorf("afterwards %v %s", a.Code, a.Text)
			}
		})
	}
}

// Guards against reads that are refused for lack of a budget while another server has room.
func TestReadsLeaveAFullServerForOneWithRoom(t *testing.T) {
	f := newFixture(t)
	if a := f.d.Run(request("warm", exchanger.Read, informer.BoundedReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	f.SetBusy("b", true)
	for i := range 200 {
		if a := f.d.Run(request(fmt.Sprint("q", i), exchanger.Read, informer.BoundedReads)); !a.OK() {
			t.Fatalf("read %d: %v %s", i, a.Code, a.Text)
		}
	}
}

// Guards against begins that are refused for lack of a budget although the next server has a
// place for them: they may wait for longer than a read waits before it leaves a server.
func TestBeginsLeaveAFullServer(t *testing.T) {
	f := newFixtureWith(t, func(cfg *dispatcher.Config) {
		cfg.WaitAt = func(string) time.Duration { return 100 * time.Millisecond }
	})
	if a := f.d.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	// Use the budget up.
	f.SetBusy("a", true)
	for i := range 40 {
		f.d.Run(request(fmt.Sprint("w", i), exchanger.Write, informer.PrimaryReads))
	}
	f.SetBusy("a", false)
	f.SetBusy("b", true)
	tx := f.d.Begin(request("begin", exchanger.BeginReadOnly, informer.BoundedReads))
	defer tx.Abandon()
	if a := tx.Run(request("r", exchanger.Read, informer.BoundedReads)); !a.OK() {
		t.Errorf("%v %s", a.Code, a.Text)
	}
}
