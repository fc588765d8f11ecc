package dispatcher

import (
	"errors"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
)

// runWrite runs a single write at the primary. It is sent again only if the last
// attempt had no effect.
func (d *Dispatcher) runWrite(req Request) exchanger.Answer {
	g := d.Group(req.Route.Service)
	deadline := req.Deadline(req.Received)
	waitDeadline := req.PrimaryWaitDeadline(req.Received)
	var reason error
	d.attempts.EarnRetry(req.Route.Service)
	for range attempter.MaxAttempts {
		l, b, err := d.attempts.AwaitPrimary(g, waitDeadline)
		if errors.Is(err, attempter.ErrUnknownServer) {
			reason = err
			continue
		}
		if err != nil {
			return d.attempts.RefuseAtPrimary(req, attempter.NoPrimaryText(err), errors.Join(err, reason), req.Route.Objective)
		}
		began := d.cfg.Clock.Now()
		answers, err := d.attempts.AttemptWrite(b, req, deadline)
		switch {
		case errors.Is(err, connector.ErrStalled):
			return d.attempts.RefuseAtPrimary(req, connector.ErrStalled.Error(), err, req.Route.Objective)
		case errors.Is(err, connector.ErrOverloaded):
			return d.attempts.RefuseAtPrimary(req, "too many requests wait for the primary", err, req.Route.Objective)
		case errors.Is(err, connector.ErrSilent):
			d.attempts.RecheckPrimary(g, l)
			return d.attempts.RefuseAtPrimary(req, "the primary does not answer", err, req.Route.Objective)
		case errors.Is(err, attempter.ErrNotSent):
			d.attempts.RecheckPrimary(g, l)
			reason = err
		case err != nil:
			d.attempts.RecheckPrimary(g, l)
			return d.commits.UnknownOutcome(req, l, err)
		case answers[0].OK():
			return d.commits.Acknowledge(g, l, req, answers[0], began, deadline)
		case !answers[0].Code.IsNotExecuted():
			return answers[0]
		case !d.attempts.MayRetry(req.Route.Service, answers[0].Code, nil):
			return d.attempts.RefuseAtPrimary(req, "the primary's queue is full", attempter.ErrNoRetries, req.Route.Objective)
		default:
			reason = d.attempts.HandleRefusal(g, l, answers[0])
		}
		d.attempts.LogRetry(req, l.Server.ID, "write was not run", reason)
		if !d.cfg.Clock.Now().Before(deadline) {
			break
		}
	}
	return d.attempts.RefuseAtPrimary(req, "the primary could not run the write", reason, req.Route.Objective)
}
