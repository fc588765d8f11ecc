package dispatcher_test

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

// Guards against requests for one server that wait at several instances: a less
// urgent one may then run before a more urgent one of another instance (hv-embalses
// scale-1: a quarter of the refused requests).
func TestOneGatewayOrdersAServer(t *testing.T) {
	f := newFleet(t)
	ranked := placer.Gateways("a", f.Servers()[0].Zone, fleetPeers(), 3)
	for _, tc := range []struct {
		name string
		lost []placer.Peer
		want string
	}{
		{"all are reachable", nil, ranked[0].Address},
		{"the first is unreachable", ranked[:1], ranked[1].Address},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var mu sync.Mutex
			used := map[string]int{}
			f.net.setHook(func(address string, r forwarder.Request) (before, after error) {
				if slices.ContainsFunc(tc.lost, func(p placer.Peer) bool { return p.Address == address }) {
					return forwarder.ErrNotSent, nil
				}
				if r.Server == "a" && len(r.Statements) > 0 && r.Statements[0].ID != "" {
					mu.Lock()
					defer mu.Unlock()
					used[address]++
				}
				return nil, nil
			})
			var wg sync.WaitGroup
			for i := range 40 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					f.caller.Run(request(fmt.Sprint(tc.name, i), exchanger.Write, informer.PrimaryReads))
				}()
			}
			wg.Wait()
			if got := slices.Collect(maps.Keys(used)); len(got) != 1 || got[0] != tc.want {
				t.Errorf("requests went to %v, want all at %s", used, tc.want)
			}
		})
	}
}

// malformedRunner answers every request with the same reply.
type malformedRunner forwarder.Reply

func (r malformedRunner) RunForwarded(forwarder.Request) forwarder.Reply { return forwarder.Reply(r) }

// Guards against a malformed reply that crashes the process, or after which a caller
// is told that its write has not run.
func TestMalformedReplies(t *testing.T) {
	for _, tc := range []struct {
		name  string
		reply forwarder.Reply
	}{
		{"no answers", forwarder.Reply{}},
		{"too many answers", forwarder.Reply{Answers: make([]exchanger.Answer, 2)}},
		{"failure of a newer version", forwarder.Reply{Failure: 99}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t)
			if a := f.caller.Run(request("warm", exchanger.Write, informer.PrimaryReads)); !a.OK() {
				t.Fatal(a.Code, a.Text)
			}
			f.net.mu.Lock()
			for address := range f.net.runners {
				f.net.runners[address] = malformedRunner(tc.reply)
			}
			f.net.mu.Unlock()
			if a := f.caller.Run(request("w", exchanger.Write, informer.PrimaryReads)); a.Code != exchanger.UnknownOutcome {
				t.Errorf("write: %v %s, want an unknown outcome", a.Code, a.Text)
			}
			if a := f.caller.Run(request("r", exchanger.Read, informer.BoundedReads)); a.OK() {
				t.Errorf("read: %v %s", a.Code, a.Text)
			}
			tx := f.caller.Begin(request("begin", exchanger.Begin, informer.PrimaryReads))
			if a := tx.Run(request("t", exchanger.Write, informer.PrimaryReads)); a.OK() {
				t.Errorf("statement of a transaction: %v %s", a.Code, a.Text)
			}
		})
	}
}

// Guards against a read that waits until its timeout at a server that loses its
// answers although another one works (srv_grey, answer_lost).
func TestReadsAreHedged(t *testing.T) {
	f := newFixture(t)
	if a := f.d.Run(request("warm", exchanger.Read, informer.BoundedReads)); !a.OK() {
		t.Fatal(a.Code, a.Text)
	}
	f.OnStatement = func(server string, s exchanger.Statement) {
		if server == "b" && s.ID == "r" {
			time.Sleep(time.Second)
		}
	}
	req := request("r", exchanger.Read, informer.BoundedReads)
	a := f.d.Run(req)
	if took := time.Since(req.Received); !a.OK() || took > req.Route.Objective {
		t.Errorf("%v %s after %v, objective %v", a.Code, a.Text, took, req.Route.Objective)
	}
	if at := f.ranAt("r"); len(at) == 0 || at[0] == "b" {
		t.Errorf("ran at %v, want at another server first", at)
	}
}
