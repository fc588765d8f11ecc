package noder

import (
	"slices"

	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/registrar"
)

// roster is the list of instances that the other components use, and what is derived from it. All
// of it is computed once for each list: each request for primary leases and each refusal of a
// request needs some of it, and it takes time in proportion to the fleet.
type roster struct {
	peers []placer.Peer
	// others and the flags are what peers was made of.
	others                []registrar.Instance
	isSelfListed, isKnown bool
	// jobs has whether this instance is among those that are selected for a job.
	jobs map[string]bool
	// relay is the relay of this instance, if it has one, once isRelayKnown is set.
	relay                  placer.Peer
	hasRelay, isRelayKnown bool
}

// update returns the peers of the node; see [Node.instances]. The caller holds the node's mu.
func (r *roster) update(n *Node) []placer.Peer {
	others := n.registrar.Others()
	isSelfListed := !n.hasLeft && !n.registrar.IsListFromInstance() || len(others) == 0
	if r.isKnown && isSelfListed == r.isSelfListed && isSameList(others, r.others) {
		return r.peers
	}
	var peers []placer.Peer
	if isSelfListed {
		peers = append(peers, n.self())
	}
	for _, o := range others {
		peers = append(peers, placer.Peer{Name: o.Name, Zone: o.Zone, Address: o.Address, Processor: o.Processor})
	}
	if n.draining && len(peers) < 2 && len(r.peers) > 0 {
		return r.peers
	}
	*r = roster{peers: peers, others: others, isSelfListed: isSelfListed, isKnown: true, jobs: map[string]bool{}}
	return peers
}

// isSameList reports whether two lists of the registrar are one: it makes a new one for each
// change.
func isSameList(a, b []registrar.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// isAmong reports whether the instance is one of count that are selected for the job.
func (r *roster) isAmong(job string, count int, instance string) bool {
	is, ok := r.jobs[job]
	if !ok {
		is = slices.ContainsFunc(placer.Rendezvous(job, r.peers, count), func(p placer.Peer) bool { return p.Name == instance })
		r.jobs[job] = is
	}
	return is
}

// relayOf returns the relay of the instance, if it has one.
func (r *roster) relayOf(self placer.Peer) (placer.Peer, bool) {
	if !r.isRelayKnown {
		r.relay, r.hasRelay = placer.PrimaryLeaseRelay(self, r.peers)
		r.isRelayKnown = true
	}
	return r.relay, r.hasRelay
}
