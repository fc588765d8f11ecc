package replacer

import (
	"slices"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
)

// settleLimit is how long after the start of a tenure a call of an earlier
// coordinator to the platform may still take effect.
const settleLimit = attester.SettleLimit

// isSettled reports whether no earlier coordinator has left a change unfinished. A
// replica that is paused for a later term than the leader's shows one: the
// promotion may still take effect, and the replica receives nothing.
//
// Primary leases need more than the absence of such a sign. The leader must report
// that it leads, and every replica that it is not paused and knows no later term.
// A replica may be missing only if another has answered and no earlier call to the
// platform can still be in progress: if no replica can be reached, another server
// may lead them already. No lease is granted either while the call of a switchover may be in
// progress whose lease this instance had: its replicas may have restarted.
func (t *task) isSettled(l attester.Leader) bool {
	token, mayAct := t.cfg.Election.Token()
	if !mayAct {
		return true
	}
	t.recordTenure()
	now := t.cfg.Clock.Now()
	if token == t.settled() {
		return true
	}
	leads, clear := false, 0
	reports := t.group().Survey()
	for _, r := range reports {
		switch {
		case r.Server.ID == l.Server.ID:
			leads = r.Report.Role == exchanger.Primary && r.Report.Term == l.Term
		case r.Report.Role == exchanger.Primary && r.Report.Term > l.Term:
			t.announce(attester.Leader{Server: r.Server, Term: r.Report.Term})
			return true
		case isReplica(r.Report) && r.Report.PausedTerm > l.Term:
			return false
		case isReplica(r.Report) && r.Report.Term <= l.Term:
			clear++
		}
	}
	if leads {
		t.resume(l, token, reports)
	}
	replicas := len(t.servers()) - 1
	_, isPending := t.group().PendingNext(l)
	if leads && clear > 0 && (clear >= replicas && !isPending || now.Sub(t.tenureSince) >= settleLimit) {
		t.settle(token)
	}
	return true
}

// isTenureSettled reports whether the servers showed no unfinished change in the present
// tenure.
func (t *task) isTenureSettled() bool {
	token, _ := t.cfg.Election.Token()
	return token == t.settled()
}

// recordTenure records when the present tenure began.
func (t *task) recordTenure() {
	if token, _ := t.cfg.Election.Token(); token != t.tenureToken {
		t.tenureToken, t.tenureSince = token, t.cfg.Clock.Now()
	}
}

// isChangeUnfinished reports whether a replica is paused for a term that it does not know
// yet.
func isChangeUnfinished(reports []attester.ServerReport) bool {
	return slices.ContainsFunc(reports, func(r attester.ServerReport) bool {
		return isReplica(r.Report) && r.Report.PausedTerm > r.Report.Term
	})
}

// unfinishedSwitchover returns the next primary of a switchover that an earlier
// coordinator has begun: the only replica that is not paused while another one is. It is
// empty if the reports show none.
func unfinishedSwitchover(reports []attester.ServerReport) string {
	next, paused, others := "", 0, 0
	for _, r := range reports {
		switch {
		case !isReplica(r.Report):
		case r.Report.PausedTerm > r.Report.Term:
			paused++
		default:
			next, others = r.Server.ID, others+1
		}
	}
	if paused == 0 || others != 1 {
		return ""
	}
	return next
}

// settled returns the tenure in which the servers showed no unfinished change.
func (t *task) settled() int64 {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	return t.settledToken
}

func (t *task) settle(token int64) {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	t.settledToken = token
}
