package placer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// Guards against a choice that differs from that of instances of an earlier version, which sort
// all peers: while a fleet is updated they would disagree on the gateways of the servers.
func TestGatewaysAreThoseOfBefore(t *testing.T) {
	rendezvous := func(key string, peers []Peer, n int) []Peer {
		hash := func(p Peer) uint64 { return xxhash.Sum64String(key + "\x00" + p.Name) }
		all := slices.Clone(peers)
		slices.SortFunc(all, func(a, b Peer) int { return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a.Name, b.Name)) })
		return all[:min(n, len(all))]
	}
	gateways := func(server, zone string, peers []Peer, n int) (chosen []Peer) {
		for _, isNear := range []bool{true, false} {
			in := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return (p.Zone == zone) != isNear })
			strongest := 0
			for _, p := range in {
				strongest = max(strongest, p.Processor)
			}
			for _, isStrong := range []bool{true, false} {
				group := slices.DeleteFunc(slices.Clone(in), func(p Peer) bool { return (2*p.Processor >= strongest) != isStrong })
				chosen = append(chosen, rendezvous(server, group, n-len(chosen))...)
			}
		}
		return chosen
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range 2000 {
		var peers []Peer
		for j := range rnd.IntN(40) {
			peers = append(peers, Peer{Name: fmt.Sprint("i", j), Zone: fmt.Sprint("z", rnd.IntN(3)), Processor: 100 * rnd.IntN(9)})
		}
		server, n := fmt.Sprint("s", i), rnd.IntN(6)
		if got, want := Gateways(server, "z0", peers, n), gateways(server, "z0", peers, n); !slices.Equal(got, want) {
			t.Fatalf("%d of %v: %v, want %v", n, peers, got, want)
		}
		if got, want := Rendezvous(server, peers, n), rendezvous(server, peers, n); !slices.Equal(got, want) {
			t.Fatalf("%d of %v: %v, want %v", n, peers, got, want)
		}
	}
}
