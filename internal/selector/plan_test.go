package selector

import (
	"slices"
	"testing"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

// peers returns n instances in three availability zones.
func peers(n int) []placer.Peer {
	var out []placer.Peer
	for i := range n {
		name := string(rune('A' + i))
		out = append(out, placer.Peer{Name: name, Zone: "zone-" + string(rune('a'+i%3)), Address: name})
	}
	return out
}

// Guards against a plan that returns the gateways of an earlier list of instances.
func TestGatewayPlan(t *testing.T) {
	var p plan
	srv := informer.Server{ID: "a", Zone: "zone-a"}
	all := peers(60)
	for _, tc := range []struct {
		name  string
		peers []placer.Peer
		n     int
	}{
		{"all", all, 4},
		{"the same list again", slices.Clone(all), 4},
		{"one has left", all[1:], 4},
		{"more gateways", all[1:], 6},
		{"a fleet of two", all[:2], 4},
	} {
		want := placer.Gateways(srv.ID, srv.Zone, tc.peers, tc.n)
		if got := p.of(srv, tc.peers, tc.n); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", tc.name, got, want)
		}
	}
}
