package replacer

import (
	"slices"
	"strings"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

// unlistedRetention is how long a server that is not listed any more still counts as one
// that may acknowledge commits: it may run and only be cut off from the store.
const unlistedRetention = 30 * time.Second

// listing is a server as it was last listed.
type listing struct {
	informer.Server
	at time.Time
	// hasDeparted is set once it is not listed any more.
	hasDeparted bool
}

// departure is that a server has left, crashed or restarted, so that a log which had
// commits that the other replicas lack may be gone. Then only the primary that
// acknowledged them has them.
type departure struct {
	// at is when it was seen; zero if none was.
	at time.Time
	// floor is the end of the primary's log as it was read after this departure, if isCovered
	// is true, or else after an earlier one. What was acknowledged with the server that
	// departed before is in the log up to there. It is at least the end of a log that is gone
	// since the last choice.
	floor     tracker.Position
	isCovered bool
	// floorUntil is unlistedRetention after the departure that the floor stands for. Later
	// departures do not renew it: the log may have commits there that nobody was told of.
	floorUntil time.Time
}

// covered returns the departure with the end of the primary's log as it was read afterwards.
func (d departure) covered(end tracker.Position) departure {
	d.floor, d.isCovered, d.floorUntil = end, true, d.at.Add(unlistedRetention)
	return d
}

// withLostLog returns the departure with the end of a log that is gone now.
func (d departure) withLostLog(end tracker.Position) departure {
	if end.Compare(d.floor) > 0 {
		d.floor = end
	}
	d.floorUntil = d.at.Add(unlistedRetention)
	return d
}

// recordListed records which servers are listed now, and whether one has departed.
func (t *task) recordListed() {
	now, servers := t.cfg.Clock.Now(), t.servers()
	for _, srv := range servers {
		last, ok := t.lastListed[srv.ID]
		if ok && last.Born != srv.Born {
			t.recordDeparture()
		}
		if last.hasDeparted {
			// It may have been paused while it was not listed.
			t.settle(0)
		}
		t.lastListed[srv.ID] = listing{Server: srv, at: now}
	}
	for id, seen := range t.lastListed {
		isListed := slices.ContainsFunc(servers, func(srv informer.Server) bool { return srv.ID == id })
		switch {
		case now.Sub(seen.at) > unlistedRetention:
			delete(t.lastListed, id)
		case !isListed && !seen.hasDeparted:
			t.recordDeparture()
			seen.hasDeparted = true
			t.lastListed[id] = seen
		}
	}
}

// emptyJoinTime is how long a server that has joined may know nothing: it receives the log
// as soon as it follows the primary.
const emptyJoinTime = 5 * time.Second

// recordLostLogs records a departure if the outcomes show that the log of a replica is gone,
// which the list may not show yet: the log is shorter than in the last choice, its server is
// gone or has a new start since one for the same term, or it is empty although the server has been known for
// long. If the last choice was for the same term and the server knows no primary of it, no
// promotion has shortened the log since, and the next primary needs what it had.
func (t *task) recordLostLogs(term uint64, outcomes []outcome) {
	indexOf := func(id string) int {
		return slices.IndexFunc(outcomes, func(o outcome) bool { return o.server.ID == id })
	}
	isKnown := map[string]bool{}
	for key, last := range t.replicaLogs {
		isKnown[key.id] = true
		var report *exchanger.Report
		_, mayRun := t.lastListed[key.id]
		isGone := true
		if i := indexOf(key.id); i >= 0 {
			report, mayRun = outcomes[i].report, true
			isGone = report == nil && outcomes[i].server.Born != key.born
		}
		switch {
		case isGone && (last.term != term || !mayRun):
			// Its departure was recorded when the list showed it.
			delete(t.replicaLogs, key)
			continue
		case isGone:
		case report == nil || !isReplica(*report) || report.Received.Compare(last.end) >= 0:
			continue
		}
		delete(t.replicaLogs, key)
		t.recordDeparture()
		isRolledBack := report != nil && report.Term >= term
		if last.term == term && !isRolledBack {
			t.departed = t.departed.withLostLog(last.end)
		}
	}
	for _, o := range outcomes {
		isOld := t.cfg.Clock.Since(o.server.Since) > emptyJoinTime
		if r := o.report; r != nil && isReplica(*r) && r.Received.IsZero() && isOld && !isKnown[o.server.ID] {
			t.recordDeparture()
		}
	}
}

// recordDeparture records that a server departs now. What is needed because of an earlier
// departure is needed as long as before.
func (t *task) recordDeparture() {
	d, _ := t.lastDeparture()
	t.departed = departure{at: t.cfg.Clock.Now(), floor: d.floor, floorUntil: d.floorUntil}
}

// lastDeparture returns the last departure; false if there was none within
// unlistedRetention.
func (t *task) lastDeparture() (departure, bool) {
	d := t.departed
	if d.at.IsZero() || t.cfg.Clock.Since(d.at) > unlistedRetention {
		return departure{}, false
	}
	if t.cfg.Clock.Now().After(d.floorUntil) {
		d.floor = tracker.Position{}
	}
	return d, true
}

// coverDeparture reads how far the primary's log reaches if a server has departed since
// that was last read.
func (t *task) coverDeparture(l attester.Leader) {
	if d, ok := t.lastDeparture(); !ok || d.isCovered {
		return
	}
	r, err := t.cfg.Backends.Probe(l.Server, exchanger.Statement{Kind: exchanger.Status}, t.cfg.Clock.Now().Add(probeTimeout))
	if err == nil && r.Role == exchanger.Primary && r.Term == l.Term {
		t.departed = t.departed.covered(r.Received)
	}
}

// requirements returns the least position that the log of the next primary must reach, and
// whether the whole log of an old primary that is fenced is needed.
func (t *task) requirements() (least tracker.Position, wholeLog bool) {
	least = t.cfg.Peers.Acknowledged(t.service.Name)
	d, ok := t.lastDeparture()
	if !ok {
		return least, false
	}
	if d.floor.Compare(least) > 0 {
		least = d.floor
	}
	return least, !d.isCovered
}

// isSilent reports whether the server last answered longer than unlistedRetention ago. One that
// has never answered this instance is not known to be silent. All instances that reach the
// server see about the same, so that a new coordinator does not begin to count anew.
func (t *task) isSilent(id string) bool {
	answered, _ := t.cfg.Backends.Health(id)
	return !answered.IsZero() && t.cfg.Clock.Since(answered) > unlistedRetention
}

// unlisted returns the servers that are not listed any more but may still run, in order
// of their ids. A server whose address a later one has does not run: one that crashed
// comes back there under another id, and addresses of servers that have left are used
// again.
func (t *task) unlisted(listed []informer.Server) []informer.Server {
	now := t.cfg.Clock.Now()
	var servers []informer.Server
	for id, seen := range t.lastListed {
		isListed := slices.ContainsFunc(listed, func(srv informer.Server) bool { return srv.ID == id })
		if !isListed && now.Sub(seen.at) <= unlistedRetention && !t.isReplaced(seen.Server) {
			servers = append(servers, seen.Server)
		}
	}
	slices.SortFunc(servers, func(a, b informer.Server) int { return strings.Compare(a.ID, b.ID) })
	return servers
}

// surveyUnlisted returns the reports of the servers that are not listed and answer at once.
func (t *task) surveyUnlisted() []attester.ServerReport {
	var reports []attester.ServerReport
	status := everyServerRuns(exchanger.Statement{Kind: exchanger.Status})
	for _, o := range t.command(t.unlisted(t.listed()), status, func(informer.Server) bool { return false }) {
		if o.report != nil {
			reports = append(reports, attester.ServerReport{Server: o.server, Report: *o.report})
		}
	}
	return reports
}

// isReplaced reports whether a later server of any service is listed at the server's
// address.
func (t *task) isReplaced(srv informer.Server) bool {
	state := t.cfg.Informer.State()
	return slices.ContainsFunc(state.Services(), func(service string) bool {
		return slices.ContainsFunc(state.ServersOf(service), func(o informer.Server) bool {
			return o.Address == srv.Address && o.Born > srv.Born
		})
	})
}
