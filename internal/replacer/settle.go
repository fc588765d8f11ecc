package replacer

import (
	"time"

	"marigoldhub.example/hub/internal/attester"
)

// settleLimit is how long after the start of a tenure a call of an earlier
// holder to the platform may still take effect. Such calls end after a second;
// the platform may run one some seconds later.
const settleLimit = 10 * time.Second

// isSettled reports whether no earlier holder has left a change unfinished. A
// replica that is paused for a later term than the leader's shows one: the
// promotion may still take effect, and the replica receives nothing.
//
// Promises need more than the absence of such a sign: every replica must have
// shown that it is not paused, or enough time must have passed.
func (t *task) isSettled(l attester.Leader) bool {
	token, mayAct := t.cfg.Duty.Token()
	if !mayAct {
		return true
	}
	now := t.cfg.Clock.Now()
	if token != t.tenureToken {
		t.tenureToken, t.tenureSince = token, now
	}
	if token == t.settled() {
		return true
	}
	answered := map[string]bool{}
	for _, r := range t.group().Survey() {
		answered[r.Server.ID] = true
		if isReplica(r.Report) && r.Report.PausedFor > l.Term {
			return false
		}
	}
	for _, srv := range t.servers() {
		if srv.ID != l.Server.ID && !answered[srv.ID] && now.Sub(t.tenureSince) < settleLimit {
			return true
		}
	}
	t.settle(token)
	return true
}

func (t *task) settled() int64 {
	t.promiseMu.Lock()
	defer t.promiseMu.Unlock()
	return t.settledToken
}

func (t *task) settle(token int64) {
	t.promiseMu.Lock()
	defer t.promiseMu.Unlock()
	t.settledToken = token
}
