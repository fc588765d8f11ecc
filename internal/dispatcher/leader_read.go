package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
)

// leasedLeader returns the primary if it is this server and this instance holds a
// lease on it now. Every answer of such a server carries a confirmed position.
func (d *Dispatcher) leasedLeader(service string, b *backend) (attester.Leader, bool) {
	g := d.Group(service)
	l, ok := g.Leader()
	return l, ok && l.Server.ID == b.id && g.HasLease(l)
}

// readAtLeader runs a read that must show every acknowledged commit: at the primary,
// confirmed as primary after the read arrived.
func (d *Dispatcher) readAtLeader(req Request) exchanger.Answer {
	g := d.Group(req.Route.Service)
	deadline := req.deadline(req.Received)
	waitDeadline := req.primaryWaitDeadline(req.Received)
	var reason error
	d.retryBudget.earn(req.Route.Service)
	for range maxAttempts {
		l, err := g.AwaitLeader(waitDeadline)
		if err != nil {
			return d.refuseAtPrimary(req, "no primary is known", errors.Join(err, reason), req.Route.Objective/2)
		}
		a, err := d.confirmedRead(g, l, req, deadline)
		if err == nil {
			return a
		}
		if errors.Is(err, errCallerLeft) {
			return callerLeftAnswer
		}
		reason = err
		d.logRetry(req, l.Server.ID, "read at the primary failed", err)
		if errors.Is(err, errOverloaded) || errors.Is(err, errSilent) || !d.cfg.Clock.Now().Before(deadline) {
			break
		}
		if errors.Is(err, errServerFull) && !d.spendRetry(req.Route.Service) {
			return d.refuseAtPrimary(req, "the primary's queue is full", errNoRetries, req.Route.Objective/2)
		}
	}
	return d.refuseAtPrimary(req, "the primary could not run the read", reason, req.Route.Objective/2)
}

// errServerFull is the [errRefused] of a server whose own queue is full.
var errServerFull = fmt.Errorf("%w: its queue is full", errRefused)

// errRefused means that a server refused a statement without running it.
var errRefused = errors.New("backend server refused the statement")

// confirmedRead runs a read at the primary and confirms at the same time that the
// server is still the primary: by its own report and by a replica. Under a primary
// lease no confirmation is needed.
func (d *Dispatcher) confirmedRead(g *attester.Group, l attester.Leader, req Request, deadline time.Time) (exchanger.Answer, error) {
	b := d.backend(l.Server.ID)
	if b == nil {
		g.Suspect(l.Server.ID, "not listed")
		return exchanger.Answer{}, errUnknownServer
	}
	if g.HasLease(l) {
		return d.readUnderLease(g, l, b, req, deadline)
	}
	began := d.cfg.Clock.Now()
	// A goroutine that waits would outlive a read that is refused at once.
	awaitConfirmation := g.BeginConfirmation(req.Received, l)
	answers, err := d.attemptRead(b, req, 0, deadline, req.Statement, exchanger.Statement{Kind: exchanger.Status})
	if err := d.checkLeaderRead(g, l, answers, err); err != nil {
		return exchanger.Answer{}, err
	}
	a, report := answers[0], answers[1]
	if !report.OK() || report.Report == nil {
		return a, g.Confirm(l, deadline)
	}
	if !g.IsLeading(l, *report.Report) {
		return exchanger.Answer{}, attester.ErrSuperseded
	}
	if err := awaitConfirmation(deadline); err != nil {
		return exchanger.Answer{}, err
	}
	g.AddSample(attester.Sample{At: began, Position: report.Report.Received, Term: l.Term})
	return a, nil
}

// readUnderLease runs a read at a primary on which this instance holds a lease.
func (d *Dispatcher) readUnderLease(g *attester.Group, l attester.Leader, b *backend, req Request, deadline time.Time) (exchanger.Answer, error) {
	answers, err := d.attemptRead(b, req, 0, deadline, req.Statement)
	if err := d.checkLeaderRead(g, l, answers, err); err != nil {
		return exchanger.Answer{}, err
	}
	return answers[0], nil
}

// checkLeaderRead returns why a read at the primary has to be tried again; nil if it
// has an answer.
func (d *Dispatcher) checkLeaderRead(g *attester.Group, l attester.Leader, answers []exchanger.Answer, err error) error {
	switch {
	case errors.Is(err, errOverloaded):
		return err
	case err != nil:
		d.recheckPrimary(g, l)
		return err
	case answers[0].Code == exchanger.Busy:
		d.cfg.Clock.Sleep(busyPause)
		return errServerFull
	case answers[0].Code.IsNotExecuted():
		d.cfg.Clock.Sleep(busyPause)
		return errors.Join(errRefused, errors.New(answers[0].Code.String()))
	}
	return nil
}

// recheckPrimary looks for another primary when the known one did not answer.
func (d *Dispatcher) recheckPrimary(g *attester.Group, l attester.Leader) {
	if b := d.backend(l.Server.ID); b == nil {
		g.Suspect(l.Server.ID, "not listed")
		return
	}
	g.CheckLeader()
}
