package attester

import "time"

// outageWeight is the weight of the last outage in the mean: about the last three count.
const outageWeight = 0.3

// outages measures the times without a known primary.
type outages struct {
	// since is when the present one began, or when the first search for a primary did.
	since time.Time
	// mean is the moving average of how long they lasted; 0 if there was none.
	mean time.Duration
}

// end records the end of the present one.
func (o *outages) end(now time.Time) {
	took := now.Sub(o.since)
	if o.mean == 0 {
		o.mean = took
	}
	o.mean += time.Duration(outageWeight * float64(took-o.mean))
}

// Outage returns for how long no primary has been known, and how long earlier such times
// lasted on the mean, 0 if there were none; false if one is known.
func (g *Group) Outage() (elapsed, usual time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.known && !g.suspended {
		return 0, 0, false
	}
	if !g.outages.since.IsZero() {
		elapsed = g.cfg.Clock.Since(g.outages.since)
	}
	return elapsed, g.outages.mean, true
}
