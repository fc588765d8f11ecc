package placer

import "time"

const (
	// otherZoneCost is the time that a read in another availability zone must save
	// to be worth the network latency of 1 to 3 ms and the traffic between zones.
	otherZoneCost = 10 * time.Millisecond
	// primaryCost keeps reads off the primary, whose slots are needed for commits,
	// unless the replicas are farther away or busier.
	primaryCost = 6 * time.Millisecond
	// gatewayPrimaryCost replaces primaryCost where a gateway schedules the
	// primary's work for the whole fleet: its slots are kept for what only the
	// primary can run, unless the replicas would answer late.
	gatewayPrimaryCost = 150 * time.Millisecond
	// assumedLatency is the latency assumed for a server that has not answered yet.
	assumedLatency = 20 * time.Millisecond
)

// Candidate is a server that may run a read.
type Candidate struct {
	// SameZone is true in the instance's own availability zone.
	SameZone bool
	// Primary is true for the primary.
	Primary bool
	// ViaGateway is true if requests reach the server through a gateway, which
	// schedules those of all instances.
	ViaGateway bool
	// Avoid is true for a server that is draining, or recently refused or failed a
	// request.
	Avoid bool
	// Behind is true for a replica that recently refused a read of the same
	// staleness because its log did not reach the position that the read required.
	Behind bool
	// InFlight counts this instance's requests that run or wait at the server.
	InFlight int
	// Slots is how many requests the server runs at a time.
	Slots int
	// Latency is the mean time of this instance's recent requests at the server; 0
	// when none is known.
	Latency time.Duration
}

// cost estimates the time until the server has answered a read, plus penalties for
// another zone and for the primary. Requests beyond the server's slots each wait
// for a whole request.
func (c Candidate) cost() time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = assumedLatency
	}
	cost := latency + latency*time.Duration(c.InFlight)/time.Duration(max(c.Slots, 1))
	if !c.SameZone {
		cost += otherZoneCost
	}
	switch {
	case c.Primary && c.ViaGateway:
		cost += gatewayPrimaryCost
	case c.Primary:
		cost += primaryCost
	}
	return cost
}

// ChooseRead returns the index of the server that is likely to answer a read
// first, or -1 without candidates. It compares the servers' latency and queue, and
// adds a cost for another availability zone and for the primary. Servers with
// Avoid set, and replicas that are behind, are chosen only when there is no other.
func ChooseRead(candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if best < 0 || isBetter(c, candidates[best]) {
			best = i
		}
	}
	return best
}

func isBetter(a, b Candidate) bool {
	if a.Avoid != b.Avoid {
		return b.Avoid
	}
	if a.Behind != b.Behind {
		return b.Behind
	}
	return a.cost() < b.cost()
}
