package reconciler

import (
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

// basis is what the shares of an instance that is no gateway of a server depend on.
type basis struct {
	state *informer.State
	peers []placer.Peer
	// isKnown is set when the list of instances has been received.
	isKnown, isCoordinator bool
	// startupShare is the share of such an instance by the time since its start, of one
	// connection.
	startupShare int
}

// basis returns the present one.
func (r *Reconciler) basis() basis {
	b := basis{
		state: r.cfg.Informer.State(), peers: r.cfg.Instances(), isKnown: r.cfg.InstancesKnown(), isCoordinator: r.cfg.IsCoordinator(),
		startupShare: probeConnections,
	}
	if age := r.cfg.Clock.Since(r.started); age < serverLingerTime {
		b.startupShare = placer.StartupShare(defaultConnections, probeConnections, -1, age)
	}
	return b
}

// equal reports whether both are the same. Lists of peers are compared by identity: one that
// was made anew counts as another one.
func (b basis) equal(o basis) bool {
	return b.state == o.state && b.isKnown == o.isKnown && b.isCoordinator == o.isCoordinator && b.startupShare == o.startupShare &&
		len(b.peers) == len(o.peers) && (len(b.peers) == 0 || &b.peers[0] == &o.peers[0])
}
