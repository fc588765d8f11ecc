package replacer

import (
	"time"

	"marigoldhub.example/hub/internal/attester"
)

// healthyWithin is how recently the primary must have answered for a lease. A
// primary is replaced when it has been silent for failureTimeout; by then the last
// lease has expired or is about to.
const healthyWithin = 300 * time.Millisecond

// PrimaryLease is a guarantee that the primary of a service is not changed for
// [Config.PrimaryLeaseTTL].
type PrimaryLease struct {
	Service string
	Leader  attester.Leader
}

// GrantLeases grants a primary lease from now on for each service whose primary
// is healthy, if this instance may act as the coordinator.
func (r *Replacer) GrantLeases() []PrimaryLease {
	r.mu.Lock()
	tasks := make([]*task, 0, len(r.tasks))
	for _, t := range r.tasks {
		tasks = append(tasks, t)
	}
	r.mu.Unlock()
	var leases []PrimaryLease
	for _, t := range tasks {
		if l, ok := t.grantLease(); ok {
			leases = append(leases, PrimaryLease{Service: t.service.Name, Leader: l})
		}
	}
	return leases
}

// grantLease grants a lease for the present leader unless a change is due.
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
	// The election is checked last: if this tenure ends after the check, the next
	// coordinator waits until the lease has expired.
	if token, mayAct := t.cfg.Election.Token(); !mayAct || token != t.settledToken {
		return l, false
	}
	t.leasedUntil = now.Add(t.cfg.PrimaryLeaseTTL)
	return l, true
}

// beginChange stops the granting of leases until endChange.
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

// awaitLeases returns when all leases that this instance granted have expired.
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
