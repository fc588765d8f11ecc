package dispatcher

import (
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/hedger"
	"marigoldhub.example/hub/internal/placer"
)

// hedgedRead is a read that may run at any server that covers its minimum position.
// At most two servers are asked at a time.
type hedgedRead struct {
	d           *Dispatcher
	req         Request
	minPosition placer.Floor
	deadline    time.Time

	// budget pays for tries while, or after, another one may have run.
	budget   *hedger.Budget
	tried    map[string]bool
	attempts int
	pending  int
	// leftZone is set when a server of another zone was asked instead of a replica of this
	// instance's zone.
	leftZone bool
	// results has room for all attempts, so that those that are not awaited can end.
	results chan readResult

	// leastLoaded is the server with the shortest expected wait among those that
	// refused the read as overloaded.
	leastLoaded     *connector.Backend
	leastLoadedWait time.Duration
	// shortestWait is the shortest expected wait among the servers that refused the read
	// as overloaded; 0 if none did.
	shortestWait time.Duration
	// mayHaveRun is set when the last result was no truthful refusal, wasFull when it was
	// a refusal at a full queue.
	mayHaveRun, wasFull bool
	// refusal is [attempter.ErrNoRetries] after a try that the budget of retries did not pay.
	refusal error
	// lastFailure is set when an answer was lost or a server failed to run the read.
	lastFailure *exchanger.Answer
}

// readResult is the outcome of one attempt.
type readResult struct {
	backend  *connector.Backend
	maySpill bool
	answers  []exchanger.Answer
	err      error
}

// run asks servers until one answers, the attempts are used up or the deadline has
// passed.
func (r *hedgedRead) run() exchanger.Answer {
	clock := r.d.cfg.Clock
	r.budget.Earn()
	r.d.attempts.EarnRetry(r.req.Route.Service)
	r.sendNext()
	hedge := clock.NewTimer(placer.HedgeDelay(r.req.Route.Objective))
	defer hedge.Stop()
	for r.pending > 0 {
		select {
		case result := <-r.results:
			r.pending--
			if a, ok := r.handleResult(result); ok {
				return a
			}
			if clock.Now().Before(r.deadline) {
				r.sendNext()
			}
		case <-hedge.Chan():
			r.hedge(clock)
		}
	}
	if r.lastFailure != nil {
		return *r.lastFailure
	}
	return r.d.places.RefuseRead(r.req, r.minPosition, "no backend server could run the read", r.refusal, r.shortestWait, r.req.Route.Objective/2)
}

// hedge asks a second server while the first has not answered.
func (r *hedgedRead) hedge(clock clockwork.Clock) {
	if r.pending != 1 || !clock.Now().Before(r.deadline) {
		return
	}
	if c := r.d.places.Choose(r.req, r.minPosition, r.tried, false); c.Backend != nil && r.pay() {
		r.d.count.hedges.Inc(1)
		r.d.attempts.LogRetry(r.req, c.Backend.ID, "the first server has not answered", nil)
		r.send(c.Backend, c.SpillWait)
	}
}

// hedgeBudget returns the budget of the service. It creates the budget at the first call.
func (d *Dispatcher) hedgeBudget(service string) *hedger.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.hedges[service]
	if b == nil {
		b = hedger.NewBudget()
		d.hedges[service] = b
	}
	return b
}

// pay takes an additional try from the budget of the service and reports whether there was
// one. A try that follows a truthful refusal costs nothing.
func (r *hedgedRead) pay() bool {
	if r.budget.Spend() {
		return true
	}
	r.d.count.hedgesNotPaid.Inc(1)
	return false
}

// sendNext asks the next server. When all were asked and none is pending, it asks the
// least loaded one again, this time with a longer wait.
func (r *hedgedRead) sendNext() {
	if r.attempts >= attempter.MaxAttempts {
		return
	}
	left := placer.WaitDeadline(r.req.Received, r.req.Route.Objective).Sub(r.d.cfg.Clock.Now())
	mayProbe := r.attempts == 0 && r.budget.Has()
	if c := r.d.places.Choose(r.req, r.minPosition, r.tried, mayProbe); c.Backend != nil {
		maxWait := left
		if c.SpillWait > 0 {
			maxWait = min(left, c.SpillWait)
		}
		if r.mayTry(c.IsFull(maxWait)) {
			r.send(c.Backend, c.SpillWait)
		}
		return
	}
	if b := r.leastLoaded; b != nil && r.pending == 0 && r.mayTry(r.leastLoadedWait > left) {
		r.leastLoaded = nil
		r.send(b, 0)
	}
}

// mayTry reports whether the read may be tried at another server. After an attempt that
// may have run, the try is paid from the budget of hedges. After a refusal at a full queue it
// is free at a server that has room, so that reads leave a busy server as before; at one
// that is expected to refuse as well it is paid from the budget of retries.
func (r *hedgedRead) mayTry(isFull bool) bool {
	if r.mayHaveRun {
		return r.pay()
	}
	if !r.wasFull || !isFull || r.d.attempts.SpendRetry(r.req.Route.Service) {
		return true
	}
	r.refusal = attempter.ErrNoRetries
	return false
}

// send starts an attempt at the server. With a spillWait, the read may be tried at
// others.
func (r *hedgedRead) send(b *connector.Backend, spillWait time.Duration) {
	if !r.leftZone && r.d.places.LeavesZone(r.req.Route.Service, b) {
		r.leftZone = true
		r.d.count.readsLeftZone.Inc(1)
	}
	r.tried[b.ID] = true
	r.attempts++
	r.pending++
	go func() {
		answers, err := r.d.attempts.AttemptRead(b, r.req, spillWait, r.deadline, r.req.Statement.WithMinPosition(r.minPosition.Position))
		r.results <- readResult{b, spillWait > 0, answers, err}
	}()
}

// handleResult takes the result of an attempt. It returns the read's answer, or
// false if another attempt is needed.
func (r *hedgedRead) handleResult(result readResult) (exchanger.Answer, bool) {
	d, b := r.d, result.backend
	var o connector.Overload
	r.mayHaveRun = result.err != nil && !errors.Is(result.err, attempter.ErrNotSent) || result.err == nil && !result.answers[0].Code.IsNotExecuted()
	r.wasFull = result.err != nil && attempter.IsFull(exchanger.Success, result.err) || result.err == nil && attempter.IsFull(result.answers[0].Code, nil)
	switch {
	case errors.Is(result.err, connector.ErrCallerLeft):
		return attempter.CallerLeftAnswer, true
	case errors.Is(result.err, attempter.ErrNotSent):
		d.attempts.LogRetry(r.req, b.ID, "not sent", result.err)
		r.shortestWait = attempter.ShorterWait(r.shortestWait, result.err)
		if errors.As(result.err, &o) && o.Wait > 0 && result.maySpill && (r.leastLoaded == nil || o.Wait < r.leastLoadedWait) {
			r.leastLoaded, r.leastLoadedWait = b, o.Wait
		}
	case result.err != nil:
		d.attempts.LogRetry(r.req, b.ID, "no answer", result.err)
		r.lastFailure = &exchanger.Answer{Code: exchanger.Failed, Text: "the answer was lost"}
	case result.answers[0].OK() || result.answers[0].Code == exchanger.Timeout:
		d.countReplicaRead(r.req.Route.Service, b.ID)
		return result.answers[0], true
	case result.answers[0].Code == exchanger.Behind:
		d.places.RecordBehind(r.req, b, r.minPosition, result.answers[0].Position)
	default:
		d.attempts.LogRetry(r.req, b.ID, result.answers[0].Code.String(), nil)
		if !result.answers[0].Code.IsNotExecuted() {
			r.lastFailure = &result.answers[0]
		}
	}
	return exchanger.Answer{}, false
}
