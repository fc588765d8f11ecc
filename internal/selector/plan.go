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
	if p.byServer == nil || !slices.Equal(p.peers, peers) {
		p.peers, p.byServer = peers, map[string][]placer.Peer{}
	}
	chosen, ok := p.byServer[srv.ID]
	if !ok || len(chosen) != min(n, len(peers)) {
		chosen = placer.Gateways(srv.ID, srv.Zone, peers, n)
		p.byServer[srv.ID] = chosen
	}
	return chosen
}

// forget removes servers that are not listed any more.
func (p *plan) forget(listed map[string]bool) {
	for id := range p.byServer {
		if !listed[id] {
			delete(p.byServer, id)
		}
	}
}
