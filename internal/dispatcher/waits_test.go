package dispatcher_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
)

// Guards against reports of a wait that no read has: behind requests that are due later
// than a read that arrives now. Such a report makes reads leave a busy zone too early.
func TestReportedWaitIsThatOfAReadThatArrivesNow(t *testing.T) {
	const (
		slots, waiting = 3, 8
		work           = 60 * time.Millisecond
	)
	for _, tc := range []struct {
		name string
		// due is when the waiting requests are due.
		due         time.Duration
		least, most time.Duration
	}{
		{"those that wait are due later", 20 * time.Second, work / slots / 2, 3 * work / slots},
		{"those that wait are due before", 450 * time.Millisecond, waiting * work / slots / 2, waiting * work},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t)
			release, blocked := make(chan struct{}), make(chan struct{}, slots)
			f.OnStatement = func(_ string, s exchanger.Statement) {
				switch {
				case strings.HasPrefix(s.ID, "warm"):
					time.Sleep(work)
				case strings.HasPrefix(s.ID, "block"):
					blocked <- struct{}{}
					<-release
				}
			}
			gateway := f.gatewayOf(t, "b")
			run := func(id string, due time.Duration) forwarder.Reply {
				return gateway.RunForwarded(forwarder.Request{
					Server: "b", Priority: 1, Timeout: 20 * time.Second, MaxWait: 10 * time.Second, Remaining: due,
					Statements: []exchanger.Statement{{ID: id, Kind: exchanger.Read, Text: id}},
				})
			}
			for i := range 3 {
				if r := run(fmt.Sprint("warm", i), 20*time.Second); r.Failure != forwarder.None {
					t.Fatal(r.Failure, r.Text)
				}
			}
			var all sync.WaitGroup
			for i := range slots {
				all.Go(func() { run(fmt.Sprint("block", i), 20*time.Second) })
				<-blocked
			}
			for i := range waiting {
				all.Go(func() { run(fmt.Sprint("r", i), tc.due) })
			}
			for deadline := time.Now().Add(5 * time.Second); gateway.Waiting("b") < waiting; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d requests wait", gateway.Waiting("b"))
				}
			}
			got := time.Duration(0)
			for _, r := range gateway.Waits() {
				if r.Server == "b" {
					got = r.Wait
				}
			}
			if got < tc.least || got > tc.most {
				t.Errorf("reported wait %v, want %v to %v", got, tc.least, tc.most)
			}
			close(release)
			all.Wait()
		})
	}
}
