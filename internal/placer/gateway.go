package placer

const (
	// maxGateways is the number of gateways of a server; it stays reachable while
	// two of three are lost.
	maxGateways = 3
	// reservedConnections are left to the status queries and commands of the
	// coordinator and of the instance that takes over from it.
	reservedConnections = 2
	// standbyDivisor sets how many connections each gateway but the first may
	// hold: the usable connections divided by it. The server counts the
	// connections of a first gateway that lost power for 3 s; meanwhile the next
	// gateway serves with these.
	standbyDivisor = 7
)

// GatewayCount returns how many instances hold connections to a server with the
// given connection limit; the others forward their statements to them. It is a
// small constant, lower if the fleet or the limit is smaller. It is 0 for a
// single instance, which needs no gateways.
//
// The gateways of a server are ordered. The first reachable one schedules all
// work of the server, so that a request never waits behind a less urgent one of
// another instance, and the server's own queue stays short. Gateways are needed
// when the load is close to the server's capacity, and when the fleet has more
// instances than the server allows connections.
func GatewayCount(limit, instances int) int {
	if instances <= 1 {
		return 0
	}
	return min(maxGateways, instances, max(limit, 1))
}

// GatewayShare returns how many connections the gateway with the given rank,
// counted from 0, may hold. The shares of all gateways do not exceed the limit.
func GatewayShare(limit, gateways, rank int) int {
	usable := max(limit-reservedConnections, 1)
	standby := max(usable/standbyDivisor, 1)
	if rank > 0 {
		return standby
	}
	return max(usable-standby*(gateways-1), 1)
}

// Gateways returns the n gateways of the server, in the order in which they are
// used. Peers of the server's availability zone come first, because a gateway
// opens and sets up connections, which is slower across zones. Among them, peers
// with at least half the processor share of the strongest one come first, because
// the first gateway runs all statements of the server.
func Gateways(server, zone string, peers []Peer, n int) []Peer {
	strongest := map[bool]int{}
	for _, p := range peers {
		strongest[p.Zone == zone] = max(strongest[p.Zone == zone], p.Processor)
	}
	var chosen []Peer
	for _, isNear := range []bool{true, false} {
		for _, isStrong := range []bool{true, false} {
			if len(chosen) == n {
				return chosen
			}
			chosen = append(chosen, rendezvousAmong(server, peers, n-len(chosen), func(p Peer) bool {
				return (p.Zone == zone) == isNear && (2*p.Processor >= strongest[isNear]) == isStrong
			})...)
		}
	}
	return chosen
}
