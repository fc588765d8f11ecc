package replacer

import (
	"time"

	"marigoldhub.example/hub/internal/attester"
)

// healthyWithin is how recently the primary must have answered for a promise. A
// primary that fails is replaced when it has been silent for failureLimit; the
// last promise has then ended or is about to.
const healthyWithin = 300 * time.Millisecond

// PrimaryLease is a promise that the leader of a service stays.
type PrimaryLease struct {
	Service string
	Leader  attester.Leader
}

// GrantLeases promises for all services whose primary is well that it stays for
// [Config.PromiseTime] from now on.
func (r *Replacer) GrantLeases() []PrimaryLease {
	r.mu.Lock()
	tasks := make([]*task, 0, len(r.tasks))
	for _, t := range r.tasks {
		tasks = append(tasks, t)
	}
	r.mu.Unlock()
	var promises []PrimaryLease
	for _, t := range tasks {
		if l, ok := t.grantLease(); ok {
			promises = append(promises, PrimaryLease{Service: t.service.Name, Leader: l})
		}
	}
	return promises
}

// grantLease promises that the present leader stays, unless a change is due.
func (t *task) grantLease() (attester.Leader, bool) {
	l, ok := t.group().Leader()
	if !ok {
		return l, false
	}
	answered, failures := t.cfg.Backends.Health(l.Server.ID)
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	now := t.cfg.Clock.Now()
	if t.changing || failures > 0 || now.Sub(answered) > healthyWithin {
		return l, false
	}
	// The duty is checked last: a tenure that ends after this is followed by
	// one that waits for the promise.
	if token, mayAct := t.cfg.Election.Token(); !mayAct || token != t.settledToken {
		return l, false
	}
	t.leasedUntil = now.Add(t.cfg.PrimaryLeaseTTL)
	return l, true
}

// beginChange stops promises until endChange.
func (t *task) beginChange() {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	t.changing = true
}

func (t *task) endChange() {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	t.changing = false
}

// awaitLeases returns when no promise of this instance holds any more.
func (t *task) awaitLeases() {
	t.leaseMu.Lock()
	until := t.leasedUntil
	t.leaseMu.Unlock()
	for t.ctx.Err() == nil {
		left := until.Sub(t.cfg.Clock.Now())
		if left < 0 {
			return
		}
		t.sleep(left + time.Millisecond)
	}
}
