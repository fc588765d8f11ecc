package replacer

import (
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
)

const (
	// sustainedLag is how long all replicas must have been of no use before the
	// primary is changed. A replica that is behind for a moment catches up by
	// itself, and a primary that hands over while replicas receive slowly would
	// be behind afterwards, too.
	sustainedLag = 5 * time.Second
	// lagCheckInterval separates two looks at a service whose replicas are behind.
	lagCheckInterval = 500 * time.Millisecond
	// recentlyBehind is how recently reads must have found all replicas behind for the
	// first look. An instance of a large fleet sends a service about one read a second.
	recentlyBehind = 5 * time.Second
	// lagChangeCooldown is the least time between two such changes of one service. It
	// doubles up to relievePauseLimit while changes do not help for long.
	lagChangeCooldown    = 15 * time.Second
	maxLagChangeCooldown = 10 * time.Minute
)

// lagMonitor decides when a change of primary relieves a service.
//
// A replica that has received a commit but not yet applied it serves no read
// that needs the commit. While that holds for all replicas, the primary gets all
// reads, and callers are refused although two of three servers rest. The replica
// that is promoted leads with all that it received within the time of a promotion,
// and the former primary, whose log is applied, is a replica that serves reads.
type lagMonitor struct {
	// since is when all replicas were first seen behind; looks and busy count the
	// looks from then on, and those that found the primary at work.
	since              time.Time
	observations, busy int
	// nextChange is when the next change may take place.
	nextChange time.Time
	cooldown   time.Duration
}

// observe takes reports of all servers and reports whether the primary should be
// changed now. A replica is behind when it is later than the staleness that any
// read accepts.
func (c *lagMonitor) observe(now time.Time, l attester.Leader, servers int, reports []attester.ServerReport, staleness time.Duration) bool {
	if staleness <= 0 || len(reports) < servers || !allBehind(l, reports, staleness) {
		c.reset()
		return false
	}
	if c.since.IsZero() {
		c.since = now
	}
	c.observations++
	for _, r := range reports {
		// The report itself takes a slot.
		if r.Server.ID == l.Server.ID && r.Report.Busy > 1 {
			c.busy++
		}
	}
	return now.Sub(c.since) >= sustainedLag && 2*c.busy > c.observations && !now.Before(c.nextChange)
}

// reset forgets what the looks have found.
func (c *lagMonitor) reset() { c.since, c.observations, c.busy = time.Time{}, 0, 0 }

// recordChange notes a change that the congestion led to.
func (c *lagMonitor) recordChange(now time.Time) {
	switch {
	case c.cooldown == 0 || now.Sub(c.nextChange) > maxLagChangeCooldown:
		c.cooldown = lagChangeCooldown
	default:
		c.cooldown = min(2*c.cooldown, maxLagChangeCooldown)
	}
	c.nextChange = now.Add(c.cooldown)
	c.reset()
}

// allBehind reports whether the leader leads and all others, at least two, are
// replicas that stay, receive its log and have not applied it for longer than the
// limit.
func allBehind(l attester.Leader, reports []attester.ServerReport, limit time.Duration) bool {
	replicas := 0
	for _, r := range reports {
		switch {
		case r.Server.Draining:
			return false
		case r.Server.ID == l.Server.ID:
			if r.Report.Role != exchanger.Primary || r.Report.Term != l.Term {
				return false
			}
		case !isReplica(r.Report) || r.Report.PausedFor != 0 || r.Report.Lag <= limit:
			return false
		default:
			replicas++
		}
	}
	return replicas >= minStalledReplicas
}

// checkReplicaLag looks whether a change of primary relieves the service, while reads
// find its replicas behind.
func (t *task) checkReplicaLag(l attester.Leader) {
	now := t.cfg.Clock.Now()
	if now.Before(t.nextLagCheck) || t.lag.since.IsZero() && !t.areAllReplicasBehind(now, l) {
		return
	}
	t.nextLagCheck = now.Add(lagCheckInterval)
	reports := t.group().Survey()
	if !t.lag.observe(now, l, len(t.servers()), reports, t.longestStaleness()) {
		t.logLag(reports)
		return
	}
	t.lag.recordChange(now)
	t.switchover(l, "all replicas are far behind")
}

// areAllReplicasBehind reports whether reads have found all replicas behind lately.
func (t *task) areAllReplicasBehind(now time.Time, l attester.Leader) bool {
	for _, srv := range t.servers() {
		if srv.ID != l.Server.ID && now.Sub(t.cfg.Backends.LastBehind(srv.ID)) > recentlyBehind {
			return false
		}
	}
	return true
}

// longestStaleness returns the oldest data that any read of the service accepts.
func (t *task) longestStaleness() time.Duration {
	c := t.cfg.Informer.State().Configuration
	if c == nil {
		return 0
	}
	var longest time.Duration
	for _, r := range c.Routes {
		if r.Service == t.service.Name {
			longest = max(longest, r.MaxStaleness)
		}
	}
	return longest
}

// logLag logs how far the replicas are behind when it is seen first.
func (t *task) logLag(reports []attester.ServerReport) {
	if t.lag.observations != 1 {
		return
	}
	fields := logrus.Fields{}
	for _, r := range reports {
		fields["lag_of_"+r.Server.ID] = r.Report.Lag.String()
	}
	t.log.WithFields(fields).Info("replacer: all replicas are far behind")
}
