package placer

import "time"

// PreferredConnections returns how many connections a gateway with the given share of a
// server's limit keeps open for teams: up to half of the limit. It opens more only while
// none is idle. After a loss of all power the servers still count the previous
// connections, and the gateways that return need room for theirs; see [StartupShare].
func PreferredConnections(limit, share int) int { return max(min(limit/2, share), 1) }

const (
	// arrivalTime and settlingTime are how long after its start an instance may know few
	// others, and not all others. Machines that start together do so within 0.3 s, and
	// register some tens of milliseconds later.
	arrivalTime  = 200 * time.Millisecond
	settlingTime = 400 * time.Millisecond
	// settlingDivisor is the part of a server's limit that its first gateway may open
	// between the two: about as many connections as the server runs requests at a time.
	settlingDivisor = 10
	// settlingGateways is how many of a server's gateways open a connection before
	// settlingTime. With all three, a fleet of 300 could open one more than a server with a
	// limit of 23 accepts besides the connections opened before the power loss.
	settlingGateways = 2
	// startupDivisor is the part of its share that a gateway may open after that.
	startupDivisor = 2
)

// StartupShare returns how many connections to a server an instance may open that started
// the given time ago, has the given rank among the server's gateways, -1 for none, and will
// have the given share of the limit. It holds until the servers have dropped the
// connections opened before the power loss: they still count them, and all instances start
// together.
//
//   - At first, instances do not know all others yet, and several take themselves for the
//     same gateway: each of the first ones may open one connection, and a little later the
//     first one some.
//   - After the settling time, a gateway may open half of its share.
//   - An instance that is no gateway opens none in the settling time. If it did whenever it
//     does not reach a gateway that is about to start, a large fleet alone would use up
//     the limit.
func StartupShare(limit, share, rank int, age time.Duration) int {
	half := max(share/startupDivisor, 1)
	switch {
	case rank < 0 && age < settlingTime:
		return 0
	case rank < 0:
		return share
	case age >= settlingTime:
		return half
	case rank == 0 && age >= arrivalTime:
		return min(max(limit/settlingDivisor, 1), half)
	case rank < settlingGateways:
		return 1
	}
	return 0
}
