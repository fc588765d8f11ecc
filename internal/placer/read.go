package placer

import (
	"slices"
	"time"
)

const (
	// DefaultOtherZoneCost is the time that a read in another availability zone must
	// save to be worth the network latency of 1 to 3 ms and the traffic between zones.
	DefaultOtherZoneCost = 10 * time.Millisecond
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
	// Lacks is true for a replica that is known not to have the position that the read
	// requires; it is not tried. See [Progress.Lacks].
	Lacks bool
	// SetAside is true for a server that is slow or fails part of its work, compared with
	// its siblings.
	SetAside bool
	// InFlight counts this instance's requests that run or wait at the server.
	InFlight int
	// Slots is how many requests the server runs at a time.
	Slots int
	// Latency is the mean time of this instance's recent requests at the server,
	// without their wait for a slot; 0 when none is known.
	Latency time.Duration
	// Wait is how long the requests of all instances keep a new one waiting, as the
	// server's gateway reported some tenths of a second ago.
	Wait time.Duration
	// OtherZoneCost is the time that a read in another availability zone must save.
	OtherZoneCost time.Duration
}

// cost estimates the time until the server has answered a read, plus penalties for
// another zone and for the primary. Requests beyond the server's slots each wait
// for a whole request.
func (c Candidate) cost() time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = assumedLatency
	}
	// The reported wait includes this instance's own requests.
	cost := latency + max(latency*time.Duration(c.InFlight)/time.Duration(max(c.Slots, 1)), c.Wait)
	if !c.SameZone {
		cost += c.OtherZoneCost
	}
	switch {
	case c.Primary && c.ViaGateway:
		cost += gatewayPrimaryCost
	case c.Primary:
		cost += primaryCost
	}
	return cost
}

// ChooseRead returns the index of the server to which a read is sent first, or -1
// without candidates. It compares the servers' latency and wait, and adds a cost for
// another availability zone and for the primary. Servers with Avoid set, replicas
// that are behind, and servers that are set aside are chosen only when there is no other.
//
// Replicas that lack the read's position are not chosen: they would refuse it.
//
// Replicas whose work gateways schedule are treated as follows. One in the read's own
// zone comes first, however busy it is reported to be: its gateway knows the wait now
// and refuses the read at once if that is longer than [SpillWait], so exactly the
// reads leave that the zone cannot serve. Reports are some tenths of a second late;
// if all instances moved their reads by them, the waits would swing between zones.
// Only one that is slow, not busy, is left at once. Replicas of other zones share the
// reads, and the less one costs the more it gets; random, in [0, 1), says which one
// gets this read.
func ChooseRead(candidates []Candidate, objective time.Duration, random float64) int {
	// Reported waits do not count here: all reads would turn to the primary at once.
	best := cheapest(withoutWaits(candidates), func(c Candidate) bool { return !c.Lacks })
	if best < 0 || !candidates[best].isScheduledReplica() {
		return best
	}
	isPeer := func(c Candidate) bool {
		return c.isScheduledReplica() && !c.Lacks && c.Avoid == candidates[best].Avoid && c.Behind == candidates[best].Behind && c.SetAside == candidates[best].SetAside
	}
	near := cheapest(candidates, func(c Candidate) bool { return isPeer(c) && c.SameZone })
	far := cheapest(candidates, func(c Candidate) bool { return isPeer(c) && !c.SameZone })
	if near >= 0 && (far < 0 || !candidates[near].isSlow(candidates[far], objective)) {
		return near
	}
	return shareOut(candidates, far, objective, random, func(c Candidate) bool { return isPeer(c) && !c.SameZone })
}

// isScheduledReplica reports whether a gateway schedules the reads that the server
// gets. The primary's slots are kept for what only it can run.
func (c Candidate) isScheduledReplica() bool { return c.ViaGateway && !c.Primary }

// slowDivisor sets how much longer a server must take than another one to count as
// slow: the objective divided by it.
const slowDivisor = 4

// isSlow reports whether the server takes so much longer for a request than other,
// waits left out, that callers notice.
func (c Candidate) isSlow(other Candidate, objective time.Duration) bool {
	return c.Latency > other.Latency+other.OtherZoneCost+objective/slowDivisor && other.Latency > 0
}

// IsFull reports whether the server is expected to refuse a read that may wait there no
// longer than maxWait: its reported wait is longer, or it refused a request a moment ago. A
// try there is likely to be wasted.
func (c Candidate) IsFull(maxWait time.Duration) bool { return c.Avoid || c.Wait > maxWait }

// shareDivisor sets how much less a server must cost than the next one to get all
// reads: the objective divided by it.
const shareDivisor = 4

// shareOut returns first or the next best of the servers that match, which gets up to
// half of the reads.
func shareOut(candidates []Candidate, first int, objective time.Duration, random float64, matches func(Candidate) bool) int {
	second := -1
	for i, c := range candidates {
		if i != first && matches(c) && (second < 0 || isBetter(c, candidates[second])) {
			second = i
		}
	}
	if second < 0 {
		return first
	}
	saved := float64(candidates[second].cost()-candidates[first].cost()) / float64(max(objective/shareDivisor, time.Millisecond))
	if random < (1-saved)/2 {
		return second
	}
	return first
}

// withoutWaits returns the candidates as if no request of another instance waited.
func withoutWaits(candidates []Candidate) []Candidate {
	out := slices.Clone(candidates)
	for i := range out {
		out[i].Wait = 0
	}
	return out
}

// cheapest returns the index of the best candidate that matches, or -1.
func cheapest(candidates []Candidate, matches func(Candidate) bool) int {
	best := -1
	for i, c := range candidates {
		if matches(c) && (best < 0 || isBetter(c, candidates[best])) {
			best = i
		}
	}
	return best
}

// SpillWait returns how long a read may wait at the chosen server before it is tried
// at another one: an eighth of its objective, which costs callers little, or as long as
// the read would wait elsewhere, but at most half of the objective. It decides when
// leaving the zone pays, and because the server's gateway compares it with the wait at
// the moment, also how many reads leave. It is 0, no limit of its own, if all other
// servers lack what the read needs.
func SpillWait(candidates []Candidate, chosen int, objective time.Duration) time.Duration {
	elsewhere := time.Duration(-1)
	alone := len(candidates) > 1
	for i, c := range candidates {
		alone = alone && (i == chosen || c.Lacks)
		if i == chosen || !c.isUsable() || c.SetAside || c.Primary {
			continue
		}
		wait := c.Wait
		if !c.SameZone && candidates[chosen].SameZone {
			wait += c.OtherZoneCost
		}
		if elsewhere < 0 || wait < elsewhere {
			elsewhere = wait
		}
	}
	if alone {
		return 0
	}
	return min(max(objective/spillDivisor, elsewhere), objective/2)
}

// spillDivisor sets how long a read waits at a server before it is tried at another
// one that is idle: the objective divided by it.
const spillDivisor = 8

func isBetter(a, b Candidate) bool {
	if a.Avoid != b.Avoid {
		return b.Avoid
	}
	if a.Behind != b.Behind {
		return b.Behind
	}
	if a.SetAside != b.SetAside {
		return b.SetAside
	}
	return a.cost() < b.cost()
}
