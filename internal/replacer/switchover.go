package replacer

import (
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

// switchover changes the primary while the old one still serves. All replicas but
// the next primary are paused first, so that it receives what is acknowledged from then
// on. A replica may forget its pause in a restart, and one may have left or joined, so
// the next primary must have the old one's log once the primary leases have ended, a
// commit counts only when the next primary has it (see [attester.Group.ConfirmCommit]),
// and the pauses are repeated before each promote call. If a step fails, it becomes a
// failover; it does not begin while the next primary does not receive what the old one
// has, nor in a tenure in which no leases are granted yet: no commit would be proved.
func (t *task) switchover(old attester.Leader, reason string) {
	tenure, _ := t.cfg.Election.Token()
	if !t.cfg.Informer.KnowsAllServers() || !t.isTenureSettled() {
		return
	}
	reports := t.group().Survey()
	next, ok := successor(old, reports)
	if !ok || t.mayAnotherLead(next.ID) || !t.catchesUp(next, old, reports) {
		return
	}
	defer t.trackChange("switchover", reason)()
	t.beginSwitchover(old, next.ID)
	defer t.endChange()
	term := old.Term + 1
	t.logger().WithFields(logrus.Fields{"server": old.Server.ID, "next": next.ID, "term": term, "reason": reason}).Info("replacer: primary hands over")
	pause := func() (nominee, error) { return t.pauseOthers(old, next, term) }
	chosen, isCurrent, err := t.chooseAfterLeases(pause, pause)
	if err != nil {
		t.failover(old, "switchover: "+err.Error(), "")
		return
	}
	if !t.promote(chosen, term, tenure, isCurrent, pause) {
		t.failover(old, "switchover: the next primary did not lead in time", next.ID)
		return
	}
	t.command([]informer.Server{old.Server}, everyServerRuns(exchanger.Statement{Kind: exchanger.StepDown, Term: term}), everyServer)
}

// catchesUp reports whether the next primary receives all that the old one has reported.
// Otherwise a switchover would be given up after the replicas were paused. The report may
// be missing while the old primary is busy; it is needed only if a server has departed
// since the old primary's log was last read.
func (t *task) catchesUp(next informer.Server, old attester.Leader, reports []attester.ServerReport) bool {
	i := slices.IndexFunc(reports, func(r attester.ServerReport) bool { return r.Server.ID == old.Server.ID })
	least, wholeLog := t.requirements()
	switch {
	case i >= 0:
		least = reports[i].Report.Received
	case wholeLog:
		return false
	}
	_, ok := t.awaitReceived(next, least)
	return ok
}

// logOf returns the end of the primary's log by the outcomes of its commands; false if it
// has not reported as the primary of its term.
func logOf(l attester.Leader, outcomes []outcome) (tracker.Position, bool) {
	for _, o := range outcomes {
		if o.server.ID == l.Server.ID && o.report != nil && o.report.Role == exchanger.Primary && o.report.Term == l.Term {
			return o.report.Received, true
		}
	}
	return tracker.Position{}, false
}

var (
	errNoReport    = errors.New("the old primary has not reported its log")
	errNotPaused   = errors.New("a replica was not paused")
	errNotReceived = errors.New("the next primary has not received the log in time")
)

// pauseOthers pauses all replicas but the next primary, and waits until that one has
// received what they and the old primary have. The old primary's log has the commits
// that were acknowledged with servers which are not known or have left.
func (t *task) pauseOthers(old attester.Leader, next informer.Server, term uint64) (nominee, error) {
	isOther := func(srv informer.Server) bool { return srv.ID != old.Server.ID && srv.ID != next.ID }
	outcomes, err := t.commandAll(func(srv informer.Server) []exchanger.Statement {
		switch {
		case isOther(srv):
			return []exchanger.Statement{{Kind: exchanger.Pause, Term: term}}
		case srv.ID == old.Server.ID:
			return []exchanger.Statement{{Kind: exchanger.Status}}
		}
		return nil
	}, func(srv informer.Server) bool { return srv.ID != next.ID })
	c := choice{term: term, list: t.cfg.Informer.List(), server: next.ID, asked: next.ID, err: err}
	t.recordLostLogs(term, identify(outcomes))
	c.acknowledged, c.wholeLog = t.requirements()
	c.needed = c.acknowledged
	if p, ok := logOf(old, outcomes); ok {
		c.needed = p
	} else if c.err == nil && c.wholeLog {
		c.err = errNoReport
	}
	others := slices.DeleteFunc(slices.Clone(outcomes), func(o outcome) bool { return !isOther(o.server) })
	t.pauseAndCatchUp(&c, identify(others), next)
	c.addLeftOut(t, others)
	for _, o := range outcomes {
		if o.server.ID == old.Server.ID {
			c.candidates = append(c.candidates, t.newCandidate(o, partOldPrimary))
		}
	}
	t.logChoice(c)
	return nominee{next.ID, c.needed}, c.err
}

// pauseAndCatchUp checks the outcomes for the other replicas, and waits until the next
// primary has received what they have. It adds the servers to the choice.
func (t *task) pauseAndCatchUp(c *choice, others []outcome, next informer.Server) {
	for _, o := range others {
		cand := t.newCandidate(o, o.part())
		cand.Fenced = o.report != nil && o.report.PausedTerm >= c.term
		c.candidates = append(c.candidates, cand)
		switch {
		case o.report == nil && o.server.Address == next.Address:
			// The next primary has answered at its address.
		case !cand.Fenced:
			c.err = errNotPaused
		case o.report.Received.Compare(c.needed) > 0:
			c.needed = o.report.Received
		}
	}
	reached := outcome{server: next}
	if c.err == nil {
		var ok bool
		if reached.report, ok = t.awaitReceived(next, c.needed); !ok {
			c.err = errNotReceived
		}
	}
	if reached.report != nil {
		// Commits count with this log alone until the others follow.
		t.replicaLogs[incarnation{next.ID, next.Born}] = replicaLog{reached.report.Received, c.term}
	}
	c.candidates = append(c.candidates, t.newCandidate(reached, partNext))
}

// catchUpTimeout is how long the next primary may take to receive what the paused
// replicas have; it usually takes milliseconds.
const catchUpTimeout = 500 * time.Millisecond

// awaitReceived waits until the server's log reaches the position. It returns the last
// report, nil if none arrived.
func (t *task) awaitReceived(srv informer.Server, p tracker.Position) (last *exchanger.Report, ok bool) {
	deadline := t.cfg.Clock.Now().Add(catchUpTimeout)
	for t.cfg.Clock.Now().Before(deadline) {
		r, err := t.cfg.Backends.Probe(srv, exchanger.Statement{Kind: exchanger.Status}, deadline)
		if err == nil {
			last = &r
		}
		if err == nil && r.Received.Compare(p) >= 0 {
			return last, true
		}
		t.sleep(pollInterval)
	}
	return last, false
}

// successor returns the replica with the longest log that is not draining. The longest
// log is needed because any replica may have acknowledged a commit before the others
// are paused.
func successor(old attester.Leader, reports []attester.ServerReport) (next informer.Server, ok bool) {
	var best exchanger.Report
	for _, r := range reports {
		if r.Server.ID != old.Server.ID && isReplica(r.Report) && !r.Server.Draining && (!ok || r.Report.Received.Compare(best.Received) > 0) {
			next, best, ok = r.Server, r.Report, true
		}
	}
	return next, ok
}
