package dispatcher

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/attester"
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
		l, err := g.AwaitLeader(waitDeadline)
		if err != nil {
			return d.attempts.RefuseAtPrimary(req, "no primary is known", errors.Join(err, reason), req.Route.Objective)
		}
		b := d.backends.Backend(l.Server.ID)
		if b == nil {
			g.Suspect(l.Server.ID, "not listed")
			reason = attempter.ErrUnknownServer
			continue
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
			return d.unknownOutcome(req, l, err)
		case answers[0].OK():
			return d.acknowledgeCommit(g, l, req, answers[0], began, deadline)
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

// unknownOutcome logs and returns the answer to a request that may or may not have
// taken effect.
func (d *Dispatcher) unknownOutcome(req Request, l attester.Leader, err error) exchanger.Answer {
	d.count.unknown.Inc(1)
	d.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "server": l.Server.ID, "term": l.Term,
		"waited": d.cfg.Clock.Since(req.Received).String(),
	}).Warn("dispatcher: outcome of a request is unknown")
	text := "the answer was lost"
	if errors.Is(err, errNotProved) {
		text = "the primary is being replaced, and the commit may be lost with it"
	}
	return exchanger.ErrorAnswer(exchanger.UnknownOutcome, exchanger.Idle, text)
}

// errNotProved means that a server acknowledged a commit that the next primary may lack.
var errNotProved = errors.New("the commit is not proved to be in the log of every server that may be promoted")

// needsReplica reports whether the service's commits are acknowledged only when a replica
// has received them. Others may be lost with the primary, and no replica can prove them.
func (d *Dispatcher) needsReplica(service string) bool {
	state := d.cfg.Informer.State()
	if !state.HasConfiguration() {
		return true
	}
	s, ok := state.Configuration.Services[service]
	return !ok || s.SyncReplicas > 0
}

// acknowledgeCommit returns the answer to a commit that the primary has acknowledged, once
// the commit is proved to outlast a change of the primary. Otherwise its outcome is unknown.
func (d *Dispatcher) acknowledgeCommit(g *attester.Group, l attester.Leader, req Request, a exchanger.Answer, began, deadline time.Time) exchanger.Answer {
	if d.needsReplica(req.Route.Service) {
		if !g.HasLease(l) {
			d.count.commitsConfirmed.Inc(1)
		}
		if err := g.ConfirmCommit(l, a.Position, deadline); err != nil {
			d.count.commitsNotProved.Inc(1)
			return d.unknownOutcome(req, l, errors.Join(errNotProved, err))
		}
	}
	g.RecordAcknowledged(a.Position)
	g.AddSample(attester.Sample{At: began, Position: a.Position, Term: l.Term})
	return a
}
