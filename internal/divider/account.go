package divider

import (
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/pooler"
)

// account keeps who may hold connections to one server.
type account struct {
	holders map[string]*holder
	// left bounds the connections of silent instances. It follows a lower
	// server count only after countSettles, in which lowest counts did not
	// exceed low: reports and the count are of different moments.
	left     int
	low      int
	lowSince time.Time
}

const (
	countSettles = 2 * time.Second
	// reportIsFresh bounds the age of a report that explains a part of the
	// server's count. Receivers report every second.
	reportIsFresh = 1500 * time.Millisecond
)

// holder is one instance with its last report and grant.
type holder struct {
	// held bounds the connections that the instance may hold until its next
	// report: what it reported as open or granted, and what it was granted.
	held int
	// open and want are the connections in its last report: open ones, and
	// those in use or waited for.
	open, want int
	// expires is the local time at which the grant has expired for certain.
	// The instance counts from its sending, which is earlier.
	expires time.Time
	// reported is the local time of the last report.
	reported time.Time
	// silent is set while the holder is neither alive nor granted anything.
	silent bool
}

// terms are the conditions of one decision.
type terms struct {
	// capacity is the server's limit without the reserved connections.
	capacity int
	// ungranted is what an instance may hold when its grant has expired.
	ungranted int
	// shares is the number of guaranteed shares.
	shares int
	live   map[string]bool
	// count is the server's own number of connections.
	count   int
	counted bool
	// settled is set when all grants of an earlier monitor have expired.
	settled bool
}

// base is the guaranteed share.
func (t terms) base() int { return max(t.capacity/t.shares, 1) }

// grant decides on one report.
func (a *account) grant(t terms, instance string, demand *wire.ServerDemand, now time.Time) int {
	h, ok := a.holders[instance]
	if !ok {
		h = &holder{}
		a.holders[instance] = h
	}
	h.open = int(demand.GetOpen())
	h.want = int(demand.GetInUse() + demand.GetWaiting())
	before := int(demand.GetGranted())
	available := max(t.capacity-a.heldByOthers(t, instance, now), 0)
	granted := min(t.base(), available)
	if t.settled {
		granted = min(t.base()+a.extra(t, h), available)
	}
	h.held = max(granted, h.open, before)
	h.expires = now.Add(pooler.GrantDuration)
	h.reported = now
	h.silent = false
	return granted
}

// heldByOthers returns the number of connections that all other instances may
// hold. Silent instances count until their grant has expired and the server's
// own count shows that their connections are gone.
func (a *account) heldByOthers(t terms, instance string, now time.Time) int {
	self := a.holders[instance]
	total, silent := 0, 0
	// reported bounds from below and allowed from above what the live
	// instances and this probe contribute to the server's count.
	reported, allowed := ownProbes+self.open, ownProbes+max(self.open, self.held)
	for name, h := range a.holders {
		held := max(h.held, a.baseIfLive(t, name))
		switch {
		case name == instance:
			continue
		case !now.Before(h.expires) && !t.live[name]:
			if !h.silent {
				h.silent = true
				// Its grant may have ended without a new one before the
				// instance went away.
				h.held = max(h.held, t.ungranted)
				a.left, a.lowSince = a.left+h.held, time.Time{}
			}
			silent += h.held
			continue
		}
		h.silent = false
		total += held
		if now.Sub(h.reported) <= reportIsFresh {
			reported += h.open
		}
		allowed += held
	}
	for name := range t.live {
		if _, ok := a.holders[name]; !ok && name != instance {
			total += t.base()
			allowed += t.base()
		}
	}
	a.left = min(a.left, silent)
	if !t.counted {
		return total + a.left
	}
	if silent == 0 {
		// Instances that an earlier monitor served may be unknown here.
		return total + max(t.count-allowed, 0)
	}
	a.observeLeft(min(max(t.count-reported, 0), silent), now)
	if a.left == 0 {
		a.dropSilent(t, now)
	}
	return total + a.left
}

func (a *account) observeLeft(left int, now time.Time) {
	switch {
	case left >= a.left:
		a.left, a.lowSince = left, time.Time{}
	case a.lowSince.IsZero():
		a.low, a.lowSince = left, now
	default:
		a.low = max(a.low, left)
		if now.Sub(a.lowSince) >= countSettles {
			a.left, a.lowSince = a.low, time.Time{}
		}
	}
}

// ownProbes is the connection over which the server's count was read.
const ownProbes = 1

func (a *account) baseIfLive(t terms, name string) int {
	if t.live[name] {
		return t.base()
	}
	return 0
}

func (a *account) dropSilent(t terms, now time.Time) {
	for name, h := range a.holders {
		if !t.live[name] && !now.Before(h.expires) {
			delete(a.holders, name)
		}
	}
}

// extra returns the part of the remainder that follows the demand of h.
func (a *account) extra(t terms, h *holder) int {
	remainder := t.capacity - t.shares*t.base()
	excess := max(h.want-t.base(), 0)
	if remainder <= 0 || excess == 0 {
		return 0
	}
	total := 0
	for name, other := range a.holders {
		if t.live[name] {
			total += max(other.want-t.base(), 0)
		}
	}
	part := (remainder*excess + total - 1) / max(total, 1)
	return min(part, excess)
}
