package placer

import "time"

const (
	// farCost is what a read in another availability zone must gain to be worth
	// its way and its bytes. The way alone takes 1 to 3 ms.
	farCost = 10 * time.Millisecond
	// leaderCost keeps reads off the primary, whose slots commits need, unless
	// the replicas are farther or busier.
	leaderCost = 6 * time.Millisecond
	// sharedLeaderCost is leaderCost where a gateway orders the primary's work for
	// the whole fleet: its turns are kept for what only it can run, unless a replica
	// takes as long as a late answer.
	sharedLeaderCost = 150 * time.Millisecond
	// typicalWork stands for the time of a request at a server that has not
	// answered yet.
	typicalWork = 20 * time.Millisecond
)

// Candidate is a server that may run a read.
type Candidate struct {
	// Near is true in the instance's own availability zone.
	Near bool
	// Leader is true for the primary.
	Leader bool
	// Shared is true if the server's work passes a gateway, which orders that of
	// all instances.
	Shared bool
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
		latency = typicalWork
	}
	cost := latency + latency*time.Duration(c.InFlight)/time.Duration(max(c.Slots, 1))
	if !c.Near {
		cost += farCost
	}
	switch {
	case c.Leader && c.Shared:
		cost += sharedLeaderCost
	case c.Leader:
		cost += leaderCost
	}
	return cost
}

// ChooseRead returns the index of the server for a read, or -1 without
// candidates. Servers to avoid and replicas that are behind are used only when
// there is no other.
func ChooseRead(candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if best < 0 || better(c, candidates[best]) {
			best = i
		}
	}
	return best
}

func better(a, b Candidate) bool {
	if a.Avoid != b.Avoid {
		return b.Avoid
	}
	if a.Behind != b.Behind {
		return b.Behind
	}
	return a.cost() < b.cost()
}
