package placer

import "slices"

const (
	// maxGateways lets a server be reached while two of its gateways are lost.
	maxGateways = 3
	// reservedConnections are left to reports and commands of the instance that
	// holds the duty of changing primaries, and of the one that takes it over.
	reservedConnections = 2
	// standbyDivisor is the part of a server's connections that each gateway but
	// the first may hold. The connections of a first gateway that lost power
	// count for 3 s, in which the next one serves with these.
	standbyDivisor = 7
)

// GatewayCount returns how many instances hold connections to a server with the
// limit; the others pass their statements on to them. It returns 0 for a single
// instance.
//
// The gateways of a server have an order. The first one that is well orders all
// work of the server, so that a request never waits behind a less urgent one
// of another instance, and so that the server's own queue stays short. It
// answers loads near what a server can run, and fleets that are larger than its
// connection limit.
func GatewayCount(limit, instances int) int {
	if instances <= 1 {
		return 0
	}
	return min(maxGateways, instances, max(limit, 1))
}

// GatewayShare returns how many connections the gateway with the rank, counted
// from 0, may hold.
func GatewayShare(limit, gateways, rank int) int {
	usable := max(limit-reservedConnections, 1)
	standby := max(usable/standbyDivisor, 1)
	if rank > 0 {
		return standby
	}
	return max(usable-standby*(gateways-1), 1)
}

// Gateways returns the n peers that hold connections to the server, in order.
// Peers of the server's availability zone come first, because a gateway opens
// connections and sets them up without a way between zones; among them those with
// at least half of the processor share of the strongest, because the first gateway
// runs all statements of the server.
func Gateways(server, zone string, peers []Peer, n int) []Peer {
	var chosen []Peer
	for _, isNear := range []bool{true, false} {
		in := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return (p.Zone == zone) != isNear })
		strongest := 0
		for _, p := range in {
			strongest = max(strongest, p.Processor)
		}
		for _, isStrong := range []bool{true, false} {
			group := slices.DeleteFunc(slices.Clone(in), func(p Peer) bool { return (2*p.Processor >= strongest) != isStrong })
			chosen = append(chosen, Rendezvous(server, group, n-len(chosen))...)
		}
	}
	return chosen
}
