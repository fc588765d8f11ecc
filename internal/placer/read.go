package placer

import "time"

const (
	// otherZoneCost is what a read in another availability zone must gain to be worth
	// its way and its bytes. The way alone takes 1 to 3 ms.
	otherZoneCost = 10 * time.Millisecond
	// primaryCost keeps reads off the primary, whose slots commits need, unless
	// the replicas are farther or busier.
	primaryCost = 6 * time.Millisecond
	// gatewayPrimaryCost is leaderCost where a gateway orders the primary's work for
	// the whole fleet: its turns are kept for what only it can run, unless a replica
	// takes as long as a late answer.
	gatewayPrimaryCost = 150 * time.Millisecond
	// assumedLatency stands for the time of a request at a server that has not
	// answered yet.
	assumedLatency = 20 * time.Millisecond
)

// Candidate is a server that may run a read.
type Candidate struct {
	// SameZone is true in the instance's own availability zone.
	SameZone bool
	// Primary is true for the primary.
	Primary bool
	// ViaGateway is true if the server's work passes a gateway, which orders that of
	// all instances.
	ViaGateway bool
	// Avoid is true for a server that is draining, lately refused or failed.
	Avoid bool
	// Behind is true for a replica that lately lacked a position of this age.
	Behind bool
	// InFlight counts this instance's requests at the server and waiting for it.
	InFlight int
	// Slots is how many requests the server runs at a time.
	Slots int
	// Latency is the mean time of this instance's last requests there; 0 when
	// none is known.
	Latency time.Duration
}

// cost estimates when a read at the server would be answered. Requests beyond
// the slots wait for a whole request each.
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

// ChooseRead returns the index of the server for a read, or -1 without
// candidates. Servers to avoid and replicas that are behind are used only when
// there is no other.
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
