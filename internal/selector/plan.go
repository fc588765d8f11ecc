package selector

import (
	"slices"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

// plan caches the gateways of all servers while the list of instances stays
// the same: choosing them takes some microseconds per instance.
type plan struct {
	peers    []placer.Peer
	byServer map[string][]placer.Peer
}

// of returns the server's n gateways among the peers.
func (p *plan) of(srv informer.Server, peers []placer.Peer, n int) []placer.Peer {
	if p.byServer == nil || !isSame(p.peers, peers) {
		p.peers, p.byServer = peers, map[string][]placer.Peer{}
	}
	chosen, ok := p.byServer[srv.ID]
	if !ok || len(chosen) != min(n, len(peers)) {
		chosen = placer.Gateways(srv.ID, srv.Zone, peers, n)
		p.byServer[srv.ID] = chosen
	}
	return chosen
}

// isSame reports whether two lists are equal. Those of one list, as for all servers of a pass,
// need no comparison.
func isSame(a, b []placer.Peer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || slices.Equal(a, b))
}

// forget removes servers that are not listed any more.
func (p *plan) forget(listed map[string]bool) {
	for id := range p.byServer {
		if !listed[id] {
			delete(p.byServer, id)
		}
	}
}
