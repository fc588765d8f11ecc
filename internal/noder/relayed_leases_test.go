package noder

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// Guards against a relay that goes through all services for each of the 150 requests a second of
// its clients, and against leases that are passed on for longer than they hold, or for a service
// that the relay has no lease for any more.
func TestRelayedLeases(t *testing.T) {
	f := startFleet(t, 1, 1)
	n := f.members["i000"].node
	f.await(t, 1, 10*time.Second)
	v, g := view{n}, n.dispatcher.Group("s")
	g.Learn(attester.Leader{Server: informer.Server{ID: "p", Service: "s"}, Term: 1}, "test")
	end := n.clock.Now().Add(300 * time.Millisecond)
	g.ExtendLease("p", 1, end)
	collected := map[time.Time]bool{}
	requests := 0
	for asked := n.clock.Now(); asked.Before(end); asked = n.clock.Now() {
		for _, p := range v.Leases().GetPermits() {
			if until := leaseEnd(asked, p.GetForUs()); p.GetPrimary() != "p" || until.After(end) {
				t.Fatalf("lease for %s until %v, want p until %v at most", p.GetPrimary(), until, end)
			}
			requests++
		}
		collected[n.relayed.at] = true
		time.Sleep(100 * time.Microsecond)
	}
	if most := int(300*time.Millisecond/maxRelayedAge) + 1; len(collected) > most || requests < 10*len(collected) {
		t.Errorf("the leases were collected %d times for %d requests, want %d times at most", len(collected), requests, most)
	}
	if got := v.Leases().GetPermits(); len(got) > 0 {
		t.Errorf("passes on %v after the end", got)
	}
	asked := n.clock.Now()
	v.LearnLeases(&wire.PermitResponse{Permits: []*wire.Permit{{Service: "s", Primary: "p", Term: 1, ForUs: 200_000}}}, asked)
	got := v.Leases().GetPermits()
	if len(got) != 1 || got[0].GetForUs() > 200_000 || got[0].GetForUs() == 0 {
		t.Errorf("passes on %v after it has learnt a lease of 0.2 s", got)
	}
}
