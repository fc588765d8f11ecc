package dispatcher

import (
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/placer"
)

// hedgedRead is a read that any server which covers its floor may run. At most
// two servers are asked at a time.
type hedgedRead struct {
	d        *Dispatcher
	req      Request
	floor    floor
	deadline time.Time

	tried    map[string]bool
	attempts int
	pending  int
	// results has room for all attempts: those that are not awaited end by themselves.
	results chan readResult

	// least is the server with the shortest queue among those whose queues were
	// too long.
	least     *backend
	leastWait time.Duration
	// ranOut is set when an answer was lost or a server failed to run the read.
	ranOut *exchanger.Answer
}

type readResult struct {
	backend  *backend
	maySpill bool
	answers  []exchanger.Answer
	err      error
}

func (r *hedgedRead) run() exchanger.Answer {
	clock := r.d.cfg.Clock
	r.start()
	hedge := clock.NewTimer(placer.HedgeDelay(r.req.Route.Objective))
	defer hedge.Stop()
	for r.pending > 0 {
		select {
		case result := <-r.results:
			r.pending--
			if a, ok := r.settle(result); ok {
				return a
			}
			if clock.Now().Before(r.deadline) {
				r.start()
			}
		case <-hedge.Chan():
			r.hedge(clock)
		}
	}
	if r.ranOut != nil {
		return *r.ranOut
	}
	return r.d.refuse(r.req, exchanger.Busy, "no backend server could run the read", nil)
}

// hedge asks another server while the first has not answered.
func (r *hedgedRead) hedge(clock clockwork.Clock) {
	if r.pending != 1 || !clock.Now().Before(r.deadline) {
		return
	}
	if b := r.d.chooseRead(r.req, r.floor, r.tried); b != nil {
		r.d.count.hedges.Inc(1)
		r.d.noteRetry(r.req, b.id, "the first server has not answered", nil)
		r.ask(b, true)
	}
}

// start asks the next server. When every server was asked, the least loaded one
// is worth a wait.
func (r *hedgedRead) start() {
	if r.attempts >= maxAttempts {
		return
	}
	if b := r.d.chooseRead(r.req, r.floor, r.tried); b != nil {
		r.ask(b, true)
		return
	}
	if b := r.least; b != nil && r.pending == 0 {
		r.least = nil
		r.ask(b, false)
	}
}

func (r *hedgedRead) ask(b *backend, maySpill bool) {
	r.tried[b.id] = true
	r.attempts++
	r.pending++
	go func() {
		answers, err := r.d.attemptRead(b, r.req, maySpill, r.deadline, r.req.Statement.WithMinPosition(r.floor.position))
		r.results <- readResult{b, maySpill, answers, err}
	}()
}

// settle takes an attempt's result and returns the read's answer if it is one.
func (r *hedgedRead) settle(result readResult) (exchanger.Answer, bool) {
	d, b := r.d, result.backend
	var o overload
	switch {
	case errors.Is(result.err, errNotSent):
		d.noteRetry(r.req, b.id, "not sent", result.err)
		if errors.As(result.err, &o) && result.maySpill && (r.least == nil || o.wait < r.leastWait) {
			r.least, r.leastWait = b, o.wait
		}
	case result.err != nil:
		d.noteRetry(r.req, b.id, "no answer", result.err)
		r.ranOut = &exchanger.Answer{Code: exchanger.Failed, Text: "the answer was lost"}
	case result.answers[0].OK() || result.answers[0].Code == exchanger.Timeout:
		d.countReplicaRead(r.req.Route.Service, b.id)
		return result.answers[0], true
	case result.answers[0].Code == exchanger.Behind:
		d.noteBehind(r.req, b, r.floor, result.answers[0].Position)
	default:
		d.noteRetry(r.req, b.id, result.answers[0].Code.String(), nil)
		if !result.answers[0].Code.IsNotExecuted() {
			r.ranOut = &result.answers[0]
		}
	}
	return exchanger.Answer{}, false
}
