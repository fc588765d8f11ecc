package replacer

import (
	"time"

	"marigoldhub.example/hub/internal/attester"
)

// healthyLimit is how recently the primary must have answered for a promise. A
// primary that fails is replaced when it has been silent for failureLimit; the
// last promise has then ended or is about to.
const healthyLimit = 300 * time.Millisecond

// Promise is a promise that the leader of a service stays.
type Promise struct {
	Service string
	Leader  attester.Leader
}

// Promises promises for all services whose primary is well that it stays for
// [Config.PromiseTime] from now on.
func (r *Replacer) Promises() []Promise {
	r.mu.Lock()
	tasks := make([]*task, 0, len(r.tasks))
	for _, t := range r.tasks {
		tasks = append(tasks, t)
	}
	r.mu.Unlock()
	var promises []Promise
	for _, t := range tasks {
		if l, ok := t.promise(); ok {
			promises = append(promises, Promise{Service: t.service.Name, Leader: l})
		}
	}
	return promises
}

// promise promises that the present leader stays, unless a change is due.
func (t *task) promise() (attester.Leader, bool) {
	l, ok := t.group().Leader()
	if !ok {
		return l, false
	}
	answered, failures := t.cfg.Fleet.Health(l.Server.ID)
	t.promiseMu.Lock()
	defer t.promiseMu.Unlock()
	now := t.cfg.Clock.Now()
	if t.changing || failures > 0 || now.Sub(answered) > healthyLimit {
		return l, false
	}
	// The duty is checked last: a tenure that ends after this is followed by
	// one that waits for the promise.
	if token, mayAct := t.cfg.Duty.Token(); !mayAct || token != t.settledToken {
		return l, false
	}
	t.promisedUntil = now.Add(t.cfg.PromiseTime)
	return l, true
}

// beginChange stops promises until endChange.
func (t *task) beginChange() {
	t.promiseMu.Lock()
	defer t.promiseMu.Unlock()
	t.changing = true
}

func (t *task) endChange() {
	t.promiseMu.Lock()
	defer t.promiseMu.Unlock()
	t.changing = false
}

// awaitPromises returns when no promise of this instance holds any more.
func (t *task) awaitPromises() {
	t.promiseMu.Lock()
	until := t.promisedUntil
	t.promiseMu.Unlock()
	for t.ctx.Err() == nil {
		left := until.Sub(t.cfg.Clock.Now())
		if left < 0 {
			return
		}
		t.sleep(left + time.Millisecond)
	}
}
