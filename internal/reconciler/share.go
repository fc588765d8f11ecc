package reconciler

import (
	"time"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// defaultConnections is the connection limit of a service that declares none.
	defaultConnections = 20
	// assumedFleetSize is the number of instances that share a server's connections,
	// as assumed by an instance that has not yet received the list of instances.
	assumedFleetSize = 16
	// probeConnections is how many connections an instance that is no gateway may
	// open, for status queries and for callers while no gateway is reachable.
	probeConnections = 1
	// serverLingerTime is how long a server counts connections whose instance has
	// lost power, according to the servers' protocol.
	serverLingerTime = 3 * time.Second
)

// connectionLimit returns how many connections all instances together may hold to
// one server of the service.
func connectionLimit(state *informer.State, service string) int {
	if state.HasConfiguration() {
		if s, ok := state.Configuration.Services[service]; ok && s.MaxConnections > 0 {
			return s.MaxConnections
		}
	}
	return defaultConnections
}

// share returns how many connections to the server this instance may hold, the
// server's gateways, and the rank of this instance among them.
func (r *Reconciler) share(state *informer.State, srv informer.Server, peers []placer.Peer) (limit int, gateways []placer.Peer, rank int) {
	all := connectionLimit(state, srv.Service)
	if !r.cfg.InstancesKnown() {
		return max(all/assumedFleetSize, 1), nil, -1
	}
	limit, rank = all, -1
	if n := placer.GatewayCount(all, len(peers)); n > 0 {
		gateways, rank = r.cfg.Selector.Rank(srv, peers, n)
		limit = probeConnections
		if rank >= 0 {
			limit = placer.GatewayShare(all, len(gateways), rank)
		}
	}
	if r.cfg.Clock.Since(r.started) < serverLingerTime {
		limit = placer.StartupShare(limit)
	}
	return limit, gateways, rank
}
