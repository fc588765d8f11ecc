package dispatcher_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
)

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
