package reconciler

import (
	"math"
	"time"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// defaultConnections is the connection limit of a service that declares none.
	defaultConnections = 20
	// assumedFleetSize is the number of instances that share a server's connections,
	// as assumed by an instance without seeds that has not yet received the list of
	// instances.
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
// server's gateways, and the rank of this instance among them. Until the list of instances
// has been received, the seeds are the gateways of all servers: only they are the same for
// all instances then.
func (r *Reconciler) share(state *informer.State, srv informer.Server, peers []placer.Peer) (limit int, gateways []placer.Peer, rank int) {
	all := connectionLimit(state, srv.Service)
	switch n := placer.GatewayCount(all, len(peers)); {
	case !r.cfg.InstancesKnown() && len(r.cfg.Seeds) == 0:
		return max(all/assumedFleetSize, 1), nil, -1
	case !r.cfg.InstancesKnown():
		gateways = r.cfg.Seeds[:min(len(r.cfg.Seeds), placer.GatewayCount(all, fleetOfUnknownSize))]
	case n > 0:
		gateways = r.cfg.Selector.Plan(srv, peers, n)
	}
	rank = r.cfg.Selector.Rank(gateways)
	startupRank := rank
	switch {
	case len(gateways) == 0:
		limit, startupRank = all, 0
	case rank >= 0:
		limit = placer.GatewayShare(all, len(gateways), rank)
	default:
		limit = probeConnections
	}
	if age := r.cfg.Clock.Since(r.started); age < serverLingerTime {
		limit = placer.StartupShare(all, limit, startupRank, age)
	}
	if r.cfg.IsCoordinator() {
		// Its commands to servers depend on no other instance.
		limit = max(limit, probeConnections)
	}
	return limit, gateways, rank
}

// fleetOfUnknownSize is more instances than any server has gateways.
const fleetOfUnknownSize = math.MaxInt
