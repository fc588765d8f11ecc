package replacer

import (
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
)

const (
	// sustainedLag is how long all replicas must have been far behind before the
	// primary is changed. A replica that is behind for a moment catches up by itself,
	// and an old primary whose replicas receive slowly would be behind as a replica.
	sustainedLag = 5 * time.Second
	// lagCheckInterval separates two checks of a service whose replicas are behind.
	lagCheckInterval = 500 * time.Millisecond
	// recentlyBehind is how recently reads must have found every replica behind for
	// the first check. An instance of a large fleet sends a service about one read a
	// second.
	recentlyBehind = 5 * time.Second
	// lagChangeCooldown is the least time between two such changes of one service. It
	// doubles up to maxLagChangeCooldown while the lag returns after a change.
	lagChangeCooldown    = 15 * time.Second
	maxLagChangeCooldown = 10 * time.Minute
)

// lagMonitor decides when a change of primary helps a service whose replicas are
// behind.
//
// A replica that has received a commit but not yet applied it serves no read that
// needs the commit. While that holds for all replicas, the primary gets all reads,
// and callers are refused although two of three servers are idle. The replica that
// is promoted applies all that it received within the time of a promotion, and the
// old primary, which has applied its log, becomes a replica that serves reads.
type lagMonitor struct {
	// since is when all replicas were first seen behind. observations counts the
	// observations from then on, busy those that found the primary busy.
	since              time.Time
	observations, busy int
	// nextChange is when the next change may take place.
	nextChange time.Time
	cooldown   time.Duration
}

// observe takes the reports of all servers and returns whether the primary should
// be changed now. A replica is behind when it lags by more than the largest
// staleness that any read accepts.
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
		// The status request itself occupies a slot.
		if r.Server.ID == l.Server.ID && r.Report.BusySlots > 1 {
			c.busy++
		}
	}
	return now.Sub(c.since) >= sustainedLag && 2*c.busy > c.observations && !now.Before(c.nextChange)
}

// reset discards the observations.
func (c *lagMonitor) reset() { c.since, c.observations, c.busy = time.Time{}, 0, 0 }

// recordChange records a change of primary because of lag.
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

// allBehind reports whether the leader leads and all other servers, at least two,
// are replicas that are not draining, receive its log and lag by more than the
// limit in applying it.
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
		case !isReplica(r.Report) || r.Report.PausedTerm != 0 || r.Report.Lag <= limit:
			return false
		default:
			replicas++
		}
	}
	return replicas >= minStalledReplicas
}

// checkReplicaLag changes the primary if reads find all replicas behind and a
// change helps.
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

// areAllReplicasBehind reports whether reads have recently found every replica
// behind.
func (t *task) areAllReplicasBehind(now time.Time, l attester.Leader) bool {
	for _, srv := range t.servers() {
		if srv.ID != l.Server.ID && now.Sub(t.cfg.Backends.LastBehind(srv.ID)) > recentlyBehind {
			return false
		}
	}
	return true
}

// longestStaleness returns the largest staleness that any read of the service
// accepts.
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

// logLag logs the lag of each server at the first observation that all replicas
// are behind.
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
