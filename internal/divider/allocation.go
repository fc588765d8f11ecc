package divider

import (
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/pooler"
)

// serverAllocation records which instances may hold how many connections to one
// server.
type serverAllocation struct {
	instances map[string]*instanceAllocation
	// orphaned is an upper bound on the connections of silent instances. It is
	// lowered only after lower values were observed for orphanedSettleTime, and
	// then to the highest of them, because the reports and the server's count
	// are taken at different times.
	orphaned int
	// lowerOrphaned is the highest of the lower values since lowerSince.
	lowerOrphaned int
	lowerSince    time.Time
}

const (
	// orphanedSettleTime is the time for which the bound on orphaned
	// connections must have been lower before it is lowered.
	orphanedSettleTime = 2 * time.Second
	// reportMaxAge is the age up to which the open connections of a report are
	// subtracted from the server's count. Instances report every second.
	// server's count. Receivers report every second.
	reportMaxAge = 1500 * time.Millisecond
)

// instanceAllocation is the last report and grant of one instance.
type instanceAllocation struct {
	// maxHeld is an upper bound on the connections that the instance may hold
	// until its next report: the highest of those that it reported as open, those
	// that it reported as granted, and the last grant.
	maxHeld int
	// open are the open connections of the last report, and wanted are those in
	// use or waited for.
	open, wanted int
	// expires is the local time at which the grant has certainly expired. The
	// instance itself counts from the time it sent the request, which is earlier.
	expires time.Time
	// reported is the local time of the last report.
	reported time.Time
	// silent is set while the instance is no member and its grant has expired.
	silent bool
}

// conditions are the inputs of one grant besides the report.
type conditions struct {
	// capacity is the server's connection limit without the reserved connections.
	capacity int
	// ungranted is the number of connections that an instance may hold after its
	// grant has expired.
	ungranted int
	// shares is the number of guaranteed shares.
	shares int
	// live are the names of the members.
	live map[string]bool
	// serverCount is the number of connections that the server itself reported.
	serverCount      int
	serverCountKnown bool
	// earlierGrantsExpired is set when all grants of an earlier monitor have
	// expired.
	earlierGrantsExpired bool
}

// guaranteedShare returns the connections that every live instance is entitled
// to, at least one.
func (c conditions) guaranteedShare() int { return max(c.capacity/c.shares, 1) }

// grant returns the number of connections granted in answer to a report.
func (a *serverAllocation) grant(c conditions, instance string, demand *wire.ServerDemand, now time.Time) int {
	inst, ok := a.instances[instance]
	if !ok {
		inst = &instanceAllocation{}
		a.instances[instance] = inst
	}
	inst.open = int(demand.GetOpen())
	inst.wanted = int(demand.GetInUse() + demand.GetWaiting())
	before := int(demand.GetGranted())
	available := max(c.capacity-a.heldByOthers(c, instance, now), 0)
	granted := min(c.guaranteedShare(), available)
	if c.earlierGrantsExpired {
		granted = min(c.guaranteedShare()+a.demandShare(c, inst), available)
	}
	inst.maxHeld = max(granted, inst.open, before)
	inst.expires = now.Add(pooler.GrantDuration)
	inst.reported = now
	inst.silent = false
	return granted
}

// heldByOthers returns an upper bound on the connections that all other
// instances may hold. The connections of a silent instance count until the
// server's own count shows that they are closed.
func (a *serverAllocation) heldByOthers(c conditions, instance string, now time.Time) int {
	self := a.instances[instance]
	total, silent := 0, 0
	// reported and allowed are the lower and the upper bound on the
	// connections in the server's count that belong to live instances and to
	// the connection that counts.
	reported, allowed := countingConnections+self.open, countingConnections+max(self.open, self.maxHeld)
	for name, inst := range a.instances {
		held := max(inst.maxHeld, a.shareIfLive(c, name))
		switch {
		case name == instance:
			continue
		case !now.Before(inst.expires) && !c.live[name]:
			if !inst.silent {
				inst.silent = true
				// Its grant may have expired without a new one before the
				// instance stopped, so it may hold the ungranted number.
				inst.maxHeld = max(inst.maxHeld, c.ungranted)
				a.orphaned, a.lowerSince = a.orphaned+inst.maxHeld, time.Time{}
			}
			silent += inst.maxHeld
			continue
		}
		inst.silent = false
		total += held
		if now.Sub(inst.reported) <= reportMaxAge {
			reported += inst.open
		}
		allowed += held
	}
	for name := range c.live {
		if _, ok := a.instances[name]; !ok && name != instance {
			total += c.guaranteedShare()
			allowed += c.guaranteedShare()
		}
	}
	a.orphaned = min(a.orphaned, silent)
	if !c.serverCountKnown {
		return total + a.orphaned
	}
	if silent == 0 {
		// Instances that an earlier monitor served may be unknown here. Their
		// connections are those that the known instances do not explain.
		return total + max(c.serverCount-allowed, 0)
	}
	a.observeOrphaned(min(max(c.serverCount-reported, 0), silent), now)
	if a.orphaned == 0 {
		a.removeSilent(c, now)
	}
	return total + a.orphaned
}

// observeOrphaned updates the bound on orphaned connections with a new
// observation.
func (a *serverAllocation) observeOrphaned(orphaned int, now time.Time) {
	switch {
	case orphaned >= a.orphaned:
		a.orphaned, a.lowerSince = orphaned, time.Time{}
	case a.lowerSince.IsZero():
		a.lowerOrphaned, a.lowerSince = orphaned, now
	default:
		a.lowerOrphaned = max(a.lowerOrphaned, orphaned)
		if now.Sub(a.lowerSince) >= orphanedSettleTime {
			a.orphaned, a.lowerSince = a.lowerOrphaned, time.Time{}
		}
	}
}

// countingConnections is the number of connections over which the server's
// count is read. They are part of the count.
const countingConnections = 1

func (a *serverAllocation) shareIfLive(c conditions, name string) int {
	if c.live[name] {
		return c.guaranteedShare()
	}
	return 0
}

// removeSilent deletes the instances that are no members and whose grant has
// expired.
func (a *serverAllocation) removeSilent(c conditions, now time.Time) {
	for name, inst := range a.instances {
		if !c.live[name] && !now.Before(inst.expires) {
			delete(a.instances, name)
		}
	}
}

// demandShare returns the part of the remainder that the instance gets by its
// demand: in proportion to its demand above the guaranteed share, rounded up,
// and never more than that demand.
func (a *serverAllocation) demandShare(c conditions, inst *instanceAllocation) int {
	remainder := c.capacity - c.shares*c.guaranteedShare()
	excess := max(inst.wanted-c.guaranteedShare(), 0)
	if remainder <= 0 || excess == 0 {
		return 0
	}
	total := 0
	for name, other := range a.instances {
		if c.live[name] {
			total += max(other.wanted-c.guaranteedShare(), 0)
		}
	}
	part := (remainder*excess + total - 1) / max(total, 1)
	return min(part, excess)
}
