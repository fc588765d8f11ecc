package reconciler

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/selector"
)

// Guards against an instance that takes the connections of others: because it does not know them
// yet, is not the server's gateway, or has just started while the server still counts the
// connections of those that lost power. A coordinator without any could not command the server.
func TestShareOfConnections(t *testing.T) {
	peers := func(n int) []placer.Peer {
		var out []placer.Peer
		for i := range n {
			out = append(out, placer.Peer{Name: fmt.Sprintf("i%02d", i), Address: fmt.Sprint("10.0.0.", i+1), Zone: "z1"})
		}
		return out
	}
	const all, long = 20, time.Hour
	for _, tc := range []struct {
		name          string
		peers, seeds  []placer.Peer
		isKnown       bool
		isCoordinator bool
		// age is the time since the start; gateways counts those of the server, and rank is
		// that of this instance.
		age         time.Duration
		rank        int
		wantLimit   int
		wantPlanned int
	}{
		{"no list and no seeds", nil, nil, false, false, long, -1, all / assumedFleetSize, 0},
		{"no list, a seed", nil, peers(3), false, false, long, 0, placer.GatewayShare(all, 3, 0), 3},
		{"no list, not a seed", nil, peers(4)[1:], false, false, long, -1, probeConnections, 3},
		{"alone", peers(1), nil, true, false, long, -1, all, 0},
		{"gateway", peers(60), nil, true, false, long, 1, placer.GatewayShare(all, 3, 1), 3},
		{"no gateway", peers(60), nil, true, false, long, -1, probeConnections, 3},
		{"no gateway, just started", peers(60), nil, true, false, time.Millisecond, -1, 0, 3},
		{"no gateway, just started, coordinator", peers(60), nil, true, true, time.Millisecond, -1, probeConnections, 3},
		{"alone, started while the server counts old connections", peers(1), nil, true, false, serverLingerTime - 1, -1, all / 2, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv, clock := informer.Server{ID: "a", Service: "s", Zone: "z1"}, clockwork.NewFakeClock()
			planned := tc.peers
			if !tc.isKnown {
				planned = tc.seeds
			} else if n := placer.GatewayCount(all, len(tc.peers)); n > 0 {
				planned = placer.Gateways(srv.ID, srv.Zone, tc.peers, n)
			}
			// The name decides which rank this instance has.
			name := "i00"
			switch {
			case tc.rank >= 0:
				name = planned[tc.rank].Name
			case len(planned) > 0 && tc.wantPlanned > 0:
				name = "none"
			}
			r := &Reconciler{cfg: Config{
				InstancesKnown: func() bool { return tc.isKnown }, Seeds: tc.seeds, IsCoordinator: func() bool { return tc.isCoordinator },
				Selector: selector.New(selector.Config{Instance: name, Clock: clock}), Clock: clock,
			}, started: clock.Now()}
			clock.Advance(tc.age)
			limit, gateways, rank := r.share(&informer.State{}, srv, tc.peers)
			if limit != tc.wantLimit || rank != tc.rank || len(gateways) != tc.wantPlanned {
				t.Errorf("%d connections, rank %d of %d gateways; want %d, %d of %d", limit, rank, len(gateways), tc.wantLimit, tc.rank, tc.wantPlanned)
			}
		})
	}
}
