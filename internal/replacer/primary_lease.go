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
	// Next is set during a switchover. Then the primary may change, but to no other
	// server than this one.
	Next string
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
			leases = append(leases, l)
		}
	}
	return leases
}

// grantLease grants a lease for the present leader unless a change is due.
func (t *task) grantLease() (PrimaryLease, bool) {
	l, ok := t.group().Leader()
	lease := PrimaryLease{Service: t.service.Name, Leader: l}
	answered, failures := t.cfg.Backends.Health(l.Server.ID)
	// A primary that is not listed may answer, but no instance sends it requests.
	_, listed := t.cfg.Informer.State().Server(t.service.Name, l.Server.ID)
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	now := t.cfg.Clock.Now()
	switch {
	case t.switchoverLease.Next != "":
		lease = t.switchoverLease
	case !ok || !listed || t.changing || failures > 0 || now.Sub(answered) > healthyWithin || t.mayAnotherLeadLocked(l.Server.ID):
		return lease, false
	}
	// The election is checked last: if this tenure ends after the check, the next
	// coordinator waits until the lease has expired.
	if token, mayAct := t.cfg.Election.Token(); !mayAct || token != t.settledToken {
		return lease, false
	}
	until := now.Add(t.cfg.PrimaryLeaseTTL)
	if lease.Next != "" {
		t.switchoverUntil = until
	} else {
		t.leasedUntil = until
	}
	return lease, true
}

// beginChange stops the granting of leases until endChange.
func (t *task) beginChange() {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	t.changing, t.switchoverLease, t.refreshed = true, PrimaryLease{}, time.Time{}
}

// beginSwitchover grants only switchover leases until beginChange or endChange.
func (t *task) beginSwitchover(l attester.Leader, next string) {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	t.changing, t.switchoverLease, t.refreshed = true, PrimaryLease{Service: t.service.Name, Leader: l, Next: next}, time.Time{}
}

func (t *task) endChange() {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	t.changing, t.switchoverLease = false, PrimaryLease{}
}

// leaseEnd returns when the last lease that this instance granted expires or has expired.
// During a switchover, switchover leases do not count.
func (t *task) leaseEnd() time.Time {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	if t.switchoverLease.Next != "" {
		return t.leasedUntil
	}
	return later(t.leasedUntil, t.switchoverUntil)
}

// awaitLeases returns when all leases that this instance granted have expired (see
// leaseEnd). It reports whether one of them held at the time or later.
func (t *task) awaitLeases(since time.Time) (held bool) {
	until, began := t.leaseEnd(), t.cfg.Clock.Now()
	if until.Before(since) {
		return false
	}
	for t.ctx.Err() == nil {
		left := until.Sub(t.cfg.Clock.Now())
		if left < 0 {
			break
		}
		t.sleep(left + time.Millisecond)
	}
	t.recordLeaseWait(t.cfg.Clock.Since(began))
	return true
}
