package dispatcher_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/informer"
)

// Guards against a read that keeps its place in the queue of a gateway after its caller has
// left, and then runs for nobody, and against a gateway that is taken for lost because its
// call was canceled. The begin of a transaction is withdrawn with its first statement; a
// write that was sent is not.
func TestReadOfACallerThatLeftIsWithdrawn(t *testing.T) {
	run := func(f *fleet, req dispatcher.Request) { f.caller.Run(req) }
	for _, tc := range []struct {
		name string
		kind exchanger.Kind
		run  func(*fleet, dispatcher.Request)
		runs int
	}{
		{"read", exchanger.Read, run, 0},
		{"write", exchanger.Write, run, 1},
		{"first statement of a transaction", exchanger.Write, func(f *fleet, req dispatcher.Request) {
			f.caller.Begin(request("begin", exchanger.Begin, informer.PrimaryReads)).Run(req)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t)
			const slots = 3
			release, blocked := make(chan struct{}), make(chan struct{}, slots)
			// A search for another primary asks all servers, confirmations of reads the replicas only.
			var searches atomic.Int32
			f.OnStatement = func(server string, s exchanger.Statement) {
				switch {
				case s.Kind == exchanger.Status && server == "a":
					searches.Add(1)
				case s.ID == "warm":
					// Slots time out after a multiple of the mean time of a request.
					time.Sleep(100 * time.Millisecond)
				case len(s.ID) > 5 && s.ID[:5] == "block":
					blocked <- struct{}{}
					<-release
				}
			}
			// On a busy machine the primary may not be known yet.
			for deadline := time.Now().Add(5 * time.Second); ; {
				a := f.caller.Run(request("warm", exchanger.Write, informer.PrimaryReads))
				if a.OK() {
					break
				}
				if time.Now().After(deadline) {
					t.Fatal(a.Code, a.Text)
				}
			}
			gateway := f.gatewayOf(t, "a")
			var all sync.WaitGroup
			for i := range slots {
				all.Go(func() { f.caller.Run(request(fmt.Sprint("block", i), exchanger.Read, informer.PrimaryReads)) })
				<-blocked
			}
			var tries atomic.Int32
			f.net.setHook(func(_ string, r forwarder.Request) (before, after error) {
				if len(r.Statements) > 0 && (r.Statements[0].ID == "x" || r.Statements[0].Kind == exchanger.Begin) {
					tries.Add(1)
				}
				return nil, nil
			})
			left, ended := make(chan struct{}), make(chan struct{})
			all.Go(func() {
				defer close(ended)
				req := request("x", tc.kind, informer.PrimaryReads)
				req.Left = left
				tc.run(f, req)
			})
			awaitWaiting := func(n int) {
				t.Helper()
				for deadline := time.Now().Add(5 * time.Second); gateway.Waiting("a") != n; {
					if time.Now().After(deadline) {
						t.Fatalf("%d requests wait at the gateway, want %d", gateway.Waiting("a"), n)
					}
					time.Sleep(time.Millisecond)
				}
			}
			awaitWaiting(1)
			before := searches.Load()
			close(left)
			if tc.runs == 0 {
				awaitWaiting(0)
				<-ended
				// A search begins in the background.
				time.Sleep(50 * time.Millisecond)
				if n := searches.Load() - before; n > 0 {
					t.Errorf("the primary was asked %d times in a search for another one", n)
				}
			}
			close(release)
			all.Wait()
			if n := tries.Load(); n != 1 {
				t.Errorf("forwarded %d times, want once", n)
			}
			if at := f.ranAt("x"); len(at) != tc.runs {
				t.Errorf("ran at %v, want %d runs", at, tc.runs)
			}
			if a := f.caller.Run(request("after", exchanger.Read, informer.PrimaryReads)); !a.OK() || f.dials.Load() > 0 {
				t.Errorf("afterwards %v %s, %d connections of its own", a.Code, a.Text, f.dials.Load())
			}
		})
	}
}

// leftRunner tells when the call of a begin has been canceled.
type leftRunner struct {
	forwarder.Runner
	canceled chan<- (<-chan struct{})
}

func (r leftRunner) RunForwarded(req forwarder.Request) forwarder.Reply {
	if len(req.Statements) > 0 && req.Statements[0].Kind == exchanger.Begin {
		r.canceled <- req.Left
	}
	return r.Runner.RunForwarded(req)
}

// Guards against a transaction that stays open at its gateway because its caller left while
// the begin ran: the caller's instance has withdrawn the call and does not know of it.
func TestTransactionThatBeginsForNobodyIsRolledBack(t *testing.T) {
	f := newFleet(t)
	begun, release := make(chan struct{}), make(chan struct{})
	f.OnStatement = func(_ string, s exchanger.Statement) {
		if s.Kind == exchanger.Begin {
			close(begun)
			<-release
		}
	}
	if a := f.caller.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	canceled := make(chan (<-chan struct{}), 1)
	f.net.mu.Lock()
	for address, runner := range f.net.runners {
		f.net.runners[address] = leftRunner{runner, canceled}
	}
	f.net.mu.Unlock()
	left, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tx := f.caller.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
		defer tx.Abandon()
		req := request("x", exchanger.Write, informer.PrimaryReads)
		req.Left = left
		tx.Run(req)
	}()
	<-begun
	close(left)
	select {
	case <-<-canceled:
	case <-time.After(5 * time.Second):
		t.Error("the call is not canceled")
	}
	close(release)
	<-ended
	if n := f.gatewayOf(t, "a").AwaitForwardedTransactions(time.Second); n != 0 {
		t.Errorf("%d transactions are open for a caller that has left", n)
	}
	if at := f.ranAt("x"); len(at) > 0 {
		t.Errorf("ran at %v", at)
	}
}

// Guards against a team that pays for a transaction of a caller who left before its begin was
// sent.
func TestBeginThatWasNotSentIsNotPaid(t *testing.T) {
	f := newFixture(t)
	blocked, release := make(chan struct{}), make(chan struct{})
	f.OnStatement = func(_ string, s exchanger.Statement) {
		if strings.HasPrefix(s.ID, "block") {
			blocked <- struct{}{}
			<-release
		}
	}
	if a := f.d.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	const slots = 3
	var all sync.WaitGroup
	for i := range slots {
		all.Go(func() { f.d.Run(request(fmt.Sprint("block", i), exchanger.Write, informer.PrimaryReads)) })
		<-blocked
	}
	left, ended := make(chan struct{}), make(chan exchanger.Answer, 1)
	go func() {
		tx := f.d.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
		defer tx.Abandon()
		req := request("x", exchanger.Write, informer.PrimaryReads)
		req.Left = left
		ended <- tx.Run(req)
	}()
	for deadline := time.Now().Add(5 * time.Second); f.d.Waiting("a") == 0 && len(ended) == 0; {
		if time.Now().After(deadline) {
			t.Fatal("the begin does not wait")
		}
		time.Sleep(time.Millisecond)
	}
	close(left)
	a := <-ended
	close(release)
	all.Wait()
	if a.Code != exchanger.Busy || a.Text != "the caller has left" {
		t.Errorf("%v %q, want busy", a.Code, a.Text)
	}
}
