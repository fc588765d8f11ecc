package dispatcher_test

import (
	"io"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/informer"
)

// Guards against refused begins that are logged as the begin, which was answered long before,
// instead of the statement whose caller waits.
func TestRefusedBeginIsLoggedAsItsStatement(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	hook := logtest.NewLocal(log)
	f := newFixtureWith(t, func(cfg *dispatcher.Config) { cfg.Log = log })
	if a := f.d.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	for _, srv := range f.Servers() {
		f.SetBusy(srv.ID, true)
	}
	begin := request("begin", exchanger.BeginReadOnly, informer.BoundedReads)
	begin.Received = begin.Received.Add(-time.Minute)
	tx := f.d.Begin(begin)
	defer tx.Abandon()
	if a := tx.Run(request("r", exchanger.Read, informer.BoundedReads)); a.Code != exchanger.Busy {
		t.Fatalf("%v %q, want busy", a.Code, a.Text)
	}
	for _, e := range hook.AllEntries() {
		if e.Message != "dispatcher: request is refused" {
			continue
		}
		waited, err := time.ParseDuration(e.Data["waited"].(string))
		if e.Data["request"] != "r" || err != nil || waited > 30*time.Second {
			t.Errorf("logged %v", e.Data)
		}
		return
	}
	t.Error("no refusal is logged")
}

// overload makes all gateways refuse everything with the expected wait.
func (f *fleet) overload(wait time.Duration) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	for address := range f.net.runners {
		f.net.runners[address] = malformedRunner(forwarder.Reply{Failure: forwarder.Overloaded, ExpectedWait: wait})
	}
}

// Guards against a begin that is told to return later than it could be served: it may wait at
// a server for the whole objective of 400 ms.
func TestReturnTimeOfABegin(t *testing.T) {
	f := newFleet(t)
	if a := f.caller.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	f.overload(600 * time.Millisecond)
	tx := f.caller.Begin(request("begin", exchanger.BeginReadOnly, informer.BoundedReads))
	defer tx.Abandon()
	a := tx.Run(request("r", exchanger.Read, informer.BoundedReads))
	m := returnTime.FindStringSubmatch(a.Text)
	if m == nil {
		t.Fatalf("%v %q, want a time", a.Code, a.Text)
	}
	// The estimate is 200 ms, and callers return within one and a half times that.
	if n, err := strconv.Atoi(m[1]); err != nil || n < 200 || n > 300 {
		t.Errorf("%q, want 200 to 300 ms", a.Text)
	}
}

// Guards against a read that asks a server again whose refusal names no wait, as one does to
// which no connection can be opened.
func TestServerWithoutAConnectionIsAskedOnce(t *testing.T) {
	f := newFleet(t)
	if a := f.caller.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	f.overload(0)
	var asked atomic.Int32
	f.net.setHook(func(_ string, r forwarder.Request) (before, after error) {
		if len(r.Statements) > 0 && r.Statements[0].ID == "r" {
			asked.Add(1)
		}
		return nil, nil
	})
	if a := f.caller.Run(request("r", exchanger.Read, informer.BoundedReads)); a.Code != exchanger.Busy {
		t.Errorf("%v %q, want busy", a.Code, a.Text)
	}
	if n := asked.Load(); n < 1 || n > 3 {
		t.Errorf("the three servers were asked %d times", n)
	}
}
