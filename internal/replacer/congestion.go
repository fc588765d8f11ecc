package replacer

import (
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
)

const (
	// congestedLimit is how long all replicas must have been of no use before the
	// primary is changed. A replica that is behind for a moment catches up by
	// itself, and a primary that hands over while replicas receive slowly would
	// be behind afterwards, too.
	congestedLimit = 5 * time.Second
	// lookInterval separates two looks at a service whose replicas are behind.
	lookInterval = 500 * time.Millisecond
	// hintLimit is how recently reads must have found all replicas behind for the
	// first look. An instance of a large fleet sends a service about one read a second.
	hintLimit = 5 * time.Second
	// relievePause is the least time between two such changes of one service. It
	// doubles up to relievePauseLimit while changes do not help for long.
	relievePause      = 15 * time.Second
	relievePauseLimit = 10 * time.Minute
)

// congestion decides when a change of primary relieves a service.
//
// A replica that has received a commit but not yet applied it serves no read
// that needs the commit. While that holds for all replicas, the primary gets all
// reads, and callers are refused although two of three servers rest. The replica
// that is promoted leads with all that it received within the time of a promotion,
// and the former primary, whose log is applied, is a replica that serves reads.
type congestion struct {
	// since is when all replicas were first seen behind; looks and busy count the
	// looks from then on, and those that found the primary at work.
	since       time.Time
	looks, busy int
	// until is when the next change may take place.
	until time.Time
	pause time.Duration
}

// look takes reports of all servers and reports whether the primary should be
// changed now. A replica is behind when it is later than the staleness that any
// read accepts.
func (c *congestion) look(now time.Time, l attester.Leader, servers int, reports []attester.ServerReport, staleness time.Duration) bool {
	if staleness <= 0 || len(reports) < servers || !allBehind(l, reports, staleness) {
		c.clear()
		return false
	}
	if c.since.IsZero() {
		c.since = now
	}
	c.looks++
	for _, r := range reports {
		// The report itself takes a slot.
		if r.Server.ID == l.Server.ID && r.Report.BusySlots > 1 {
			c.busy++
		}
	}
	return now.Sub(c.since) >= congestedLimit && 2*c.busy > c.looks && !now.Before(c.until)
}

// clear forgets what the looks have found.
func (c *congestion) clear() { c.since, c.looks, c.busy = time.Time{}, 0, 0 }

// changed notes a change that the congestion led to.
func (c *congestion) changed(now time.Time) {
	switch {
	case c.pause == 0 || now.Sub(c.until) > relievePauseLimit:
		c.pause = relievePause
	default:
		c.pause = min(2*c.pause, relievePauseLimit)
	}
	c.until = now.Add(c.pause)
	c.clear()
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
		case !isReplica(r.Report) || r.Report.PausedTerm != 0 || r.Report.Lag <= limit:
			return false
		default:
			replicas++
		}
	}
	return replicas >= minStalledReplicas
}

// relieve looks whether a change of primary relieves the service, while reads
// find its replicas behind.
func (t *task) relieve(l attester.Leader) {
	now := t.cfg.Clock.Now()
	if now.Before(t.nextLook) || t.congestion.since.IsZero() && !t.areReplicasHinted(now, l) {
		return
	}
	t.nextLook = now.Add(lookInterval)
	reports := t.group().Survey()
	if !t.congestion.look(now, l, len(t.servers()), reports, t.longestStaleness()) {
		t.logLook(reports)
		return
	}
	t.congestion.changed(now)
	t.handOver(l, "all replicas are far behind")
}

// areReplicasHinted reports whether reads have found all replicas behind lately.
func (t *task) areReplicasHinted(now time.Time, l attester.Leader) bool {
	for _, srv := range t.servers() {
		if srv.ID != l.Server.ID && now.Sub(t.cfg.Fleet.LackedAt(srv.ID)) > hintLimit {
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

// logLook logs how far the replicas are behind when it is seen first.
func (t *task) logLook(reports []attester.ServerReport) {
	if t.congestion.looks != 1 {
		return
	}
	fields := logrus.Fields{}
	for _, r := range reports {
		fields["lag_of_"+r.Server.ID] = r.Report.Lag.String()
	}
	t.log.WithFields(fields).Info("replacer: all replicas are far behind")
}
