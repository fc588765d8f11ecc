package replacer

import (
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

// switchover changes the primary while the old one still serves. All replicas but
// the next primary are paused first: from then on every acknowledged commit is in
// the next primary's log. If a step fails, it becomes a failover.
func (t *task) switchover(old attester.Leader, reason string) {
	reports := t.group().Survey()
	next, others, ok := t.successor(old, reports)
	if !ok {
		return
	}
	if len(t.vanished(t.servers(), map[string]bool{old.Server.ID: true})) > 0 {
		t.failover(old, "switchover: a replica that may acknowledge commits is not listed")
		return
	}
	t.beginChange()
	defer t.endChange()
	term := old.Term + 1
	t.log.WithFields(logrus.Fields{"server": old.Server.ID, "next": next.ID, "term": term, "reason": reason}).Info("replacer: primary hands over")
	paused := t.command(others, everyServerRuns(exchanger.Statement{Kind: exchanger.Pause, Term: term}), everyServer)
	longest := tracker.Position{}
	for _, r := range paused {
		if r == nil || r.PausedTerm < term {
			t.failover(old, "switchover: a replica was not paused")
			return
		}
		if r.Received.Compare(longest) > 0 {
			longest = r.Received
		}
	}
	if !t.awaitReceived(next, longest) {
		t.failover(old, "switchover: the next primary has not received the log in time")
		return
	}
	if !t.promote(next.ID, term) {
		t.failover(old, "switchover: the next primary did not lead in time")
		return
	}
	t.command([]informer.Server{old.Server}, everyServerRuns(exchanger.Statement{Kind: exchanger.StepDown, Term: term}), everyServer)
}

// catchUpTimeout is how long the next primary may take to receive what the paused
// replicas have; it usually takes milliseconds.
const catchUpTimeout = 500 * time.Millisecond

// awaitReceived waits until the server's log reaches the position.
func (t *task) awaitReceived(srv informer.Server, p tracker.Position) bool {
	deadline := t.cfg.Clock.Now().Add(catchUpTimeout)
	for t.cfg.Clock.Now().Before(deadline) {
		r, err := t.cfg.Backends.Probe(srv, exchanger.Statement{Kind: exchanger.Status}, deadline)
		if err == nil && r.Received.Compare(p) >= 0 {
			return true
		}
		t.sleep(pollInterval)
	}
	return false
}

// successor returns the replica with the longest log that is not draining, and the
// other replicas. The longest log is needed because any replica may have acknowledged
// a commit before the others are paused.
func (t *task) successor(old attester.Leader, reports []attester.ServerReport) (next informer.Server, others []informer.Server, ok bool) {
	var best exchanger.Report
	for _, r := range reports {
		if r.Server.ID != old.Server.ID && isReplica(r.Report) && !r.Server.Draining && (!ok || r.Report.Received.Compare(best.Received) > 0) {
			next, best, ok = r.Server, r.Report, true
		}
	}
	for _, srv := range t.servers() {
		if srv.ID != old.Server.ID && srv.ID != next.ID {
			others = append(others, srv)
		}
	}
	return next, others, ok
}
