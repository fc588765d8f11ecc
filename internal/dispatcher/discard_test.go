package dispatcher_test

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/informer"
)

// lateCancelRunner runs begins whose cancel does not arrive. It tells when they were canceled.
type lateCancelRunner struct {
	forwarder.Runner
	canceled chan<- (<-chan struct{})
}

func (r lateCancelRunner) RunForwarded(req forwarder.Request) forwarder.Reply {
	if len(req.Statements) > 0 && req.Statements[0].Kind == exchanger.Begin {
		r.canceled <- req.Left
	}
	req.Left = nil
	return r.Runner.RunForwarded(req)
}

// Guards against a transaction that stays open at its gateway until its idle limit because the
// discard arrived before the begin, or while the begin ran.
func TestDiscardThatOvertakesItsBegin(t *testing.T) {
	const transaction = "other/1/1"
	for _, tc := range []struct {
		name string
		// discards is the number of discards that arrive before the begin, while it runs, and
		// after its end.
		discards [3]int
		wantOpen int
		// wantRun is whether the begin may run.
		wantRun bool
	}{
		{"none", [3]int{0, 0, 0}, 1, true},
		{"after the begin", [3]int{0, 0, 1}, 0, true},
		{"while the begin runs", [3]int{0, 1, 0}, 0, true},
		{"before the begin", [3]int{1, 0, 0}, 0, false},
		{"twice", [3]int{1, 1, 1}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t)
			gateway := f.gatewayOf(t, "a")
			send := func(id string, kind exchanger.Kind) forwarder.Reply {
				return gateway.RunForwarded(forwarder.Request{
					Server: "a", Transaction: transaction, IsPlain: true, Timeout: time.Second, MaxWait: time.Second, Remaining: time.Second,
					Statements: []exchanger.Statement{{ID: id, Kind: kind}},
				})
			}
			discard := func(n int) {
				for range n {
					gateway.RunForwarded(forwarder.Request{Server: "a", Transaction: transaction, Discard: true})
				}
			}
			f.OnStatement = func(_ string, s exchanger.Statement) {
				if s.Kind == exchanger.Begin {
					discard(tc.discards[1])
				}
			}
			discard(tc.discards[0])
			reply := send("begin", exchanger.Begin)
			if isRun := reply.Failure == forwarder.None; isRun != tc.wantRun {
				t.Errorf("begin: %v %s", reply.Failure, reply.Text)
			}
			discard(tc.discards[2])
			if n := gateway.AwaitForwardedTransactions(time.Second); n != tc.wantOpen {
				t.Errorf("%d transactions are open, want %d", n, tc.wantOpen)
			}
			if reply := send("next", exchanger.Write); (reply.Failure == forwarder.None) != (tc.wantOpen > 0) {
				t.Errorf("the next statement: %v %s", reply.Failure, reply.Text)
			}
		})
	}
}

// Guards against a transaction of a caller that has left, which stays open because the
// request to discard it was lost.
func TestLostDiscardIsSentAgain(t *testing.T) {
	for _, tc := range []struct {
		name string
		lost int32
	}{
		{"none is lost", 0},
		{"the first two are lost", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t)
			begun, release := make(chan struct{}), make(chan struct{})
			f.OnStatement = func(_ string, s exchanger.Statement) {
				if s.Kind == exchanger.Begin {
					close(begun)
					<-release
				}
			}
			for deadline := time.Now().Add(5 * time.Second); ; {
				a := f.caller.Run(request("warm", exchanger.Write, informer.PrimaryReads))
				if a.OK() {
					break
				}
				if time.Now().After(deadline) {
					t.Fatal(a.Code, a.Text)
				}
			}
			canceled := make(chan (<-chan struct{}), 1)
			f.net.mu.Lock()
			for address, runner := range f.net.runners {
				f.net.runners[address] = lateCancelRunner{runner, canceled}
			}
			f.net.mu.Unlock()
			var discards atomic.Int32
			f.net.setHook(func(_ string, r forwarder.Request) (before, after error) {
				if r.Discard && discards.Add(1) <= tc.lost {
					return errors.New("connection reset"), nil
				}
				return nil, nil
			})
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
			<-<-canceled
			close(release)
			<-ended
			for deadline := time.Now().Add(5 * time.Second); discards.Load() <= tc.lost; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d discards were sent, want %d", discards.Load(), tc.lost+1)
				}
			}
			// The idle limit without a configured one is 10 s.
			if n := f.gatewayOf(t, "a").AwaitForwardedTransactions(time.Second); n != 0 {
				t.Errorf("%d transactions are open for a caller that has left", n)
			}
		})
	}
}
