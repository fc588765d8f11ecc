package dispatcher

import (
	"errors"
	"time"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
)

// errNotProved marks reads that the server answered, but that it was not proved to be the
// primary then.
var errNotProved = errors.New("the read ran, but its server was not proved to lead")

// readAtLeader runs a read that must show every acknowledged commit: at the primary,
// confirmed as primary after the read arrived.
func (d *Dispatcher) readAtLeader(req Request) exchanger.Answer {
	g := d.Group(req.Route.Service)
	deadline := req.Deadline(req.Received)
	waitDeadline := req.PrimaryWaitDeadline(req.Received)
	var reason error
	// ended is the answer to a read that a server ran, or may have. Refusals promise that
	// nothing ran, and the team gets its token back.
	var ended *exchanger.Answer
	refuse := func(text string, err error) exchanger.Answer {
		if ended != nil {
			return *ended
		}
		return d.attempts.RefuseAtPrimary(req, text, err, req.Route.Objective/2)
	}
	d.attempts.EarnRetry(req.Route.Service)
	for range attempter.MaxAttempts {
		l, b, err := d.attempts.AwaitPrimary(g, waitDeadline)
		if errors.Is(err, attempter.ErrUnknownServer) {
			reason = err
			d.attempts.LogRetry(req, l.Server.ID, "read at the primary failed", err)
			continue
		}
		if err != nil {
			return refuse(attempter.NoPrimaryText(err), errors.Join(err, reason))
		}
		a, err := d.confirmedRead(g, l, b, req, deadline)
		if err == nil {
			return a
		}
		if errors.Is(err, connector.ErrCallerLeft) {
			return attempter.CallerLeftAnswer
		}
		switch {
		case errors.Is(err, errNotProved):
			if ended == nil {
				ended = &exchanger.Answer{Code: exchanger.Aborted, Text: "the primary is not proved to lead; nothing is kept"}
			}
		case !errors.Is(err, attempter.ErrNotSent) && !errors.Is(err, attempter.ErrRefused):
			ended = &exchanger.Answer{Code: exchanger.Failed, Text: "the answer was lost"}
		}
		reason = err
		d.attempts.LogRetry(req, l.Server.ID, "read at the primary failed", err)
		if errors.Is(err, connector.ErrOverloaded) || errors.Is(err, connector.ErrSilent) || !d.cfg.Clock.Now().Before(deadline) {
			break
		}
		if errors.Is(err, attempter.ErrServerFull) && !d.attempts.SpendRetry(req.Route.Service) {
			return refuse("the primary's queue is full", attempter.ErrNoRetries)
		}
	}
	return refuse("the primary could not run the read", reason)
}

// confirmedRead runs a read at the primary and confirms at the same time that the
// server is still the primary: by its own report and by a replica. Under a primary
// lease no confirmation is needed.
func (d *Dispatcher) confirmedRead(g *attester.Group, l attester.Leader, b *connector.Backend, req Request, deadline time.Time) (exchanger.Answer, error) {
	if g.HasLease(l) {
		return d.readUnderLease(g, l, b, req, deadline)
	}
	began := d.cfg.Clock.Now()
	// A goroutine that waits would outlive a read that is refused at once.
	awaitConfirmation := g.BeginConfirmation(req.Received, l)
	answers, err := d.attempts.AttemptRead(b, req, 0, deadline, req.Statement, exchanger.Statement{Kind: exchanger.Status})
	if err := d.checkLeaderRead(g, l, answers, err); err != nil {
		return exchanger.Answer{}, err
	}
	a, report := answers[0], answers[1]
	if !report.OK() || report.Report == nil {
		if err := g.Confirm(l, deadline); err != nil {
			return exchanger.Answer{}, errors.Join(errNotProved, err)
		}
		return a, nil
	}
	if !g.IsLeading(l, *report.Report) {
		return exchanger.Answer{}, errors.Join(errNotProved, attester.ErrSuperseded)
	}
	if err := awaitConfirmation(deadline); err != nil {
		return exchanger.Answer{}, errors.Join(errNotProved, err)
	}
	g.AddSample(attester.Sample{At: began, Position: report.Report.Received, Term: l.Term})
	return a, nil
}

// readUnderLease runs a read at a primary on which this instance holds a lease.
func (d *Dispatcher) readUnderLease(g *attester.Group, l attester.Leader, b *connector.Backend, req Request, deadline time.Time) (exchanger.Answer, error) {
	answers, err := d.attempts.AttemptRead(b, req, 0, deadline, req.Statement)
	if err := d.checkLeaderRead(g, l, answers, err); err != nil {
		return exchanger.Answer{}, err
	}
	return answers[0], nil
}

// checkLeaderRead returns why a read at the primary has to be tried again; nil if it
// has an answer.
func (d *Dispatcher) checkLeaderRead(g *attester.Group, l attester.Leader, answers []exchanger.Answer, err error) error {
	switch {
	case errors.Is(err, connector.ErrOverloaded):
		return err
	case err != nil:
		d.attempts.RecheckPrimary(g, l)
		return err
	case answers[0].Code == exchanger.Busy:
		d.cfg.Clock.Sleep(attempter.BusyPause)
		return attempter.ErrServerFull
	case answers[0].Code.IsNotExecuted():
		d.cfg.Clock.Sleep(attempter.BusyPause)
		return errors.Join(attempter.ErrRefused, errors.New(answers[0].Code.String()))
	}
	return nil
}
