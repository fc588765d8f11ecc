package attempter

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/appraiser"
	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/placer"
)

// NewConnRequest returns the connection request of a statement whose answer is of
// use for the given number of objectives.
func (t *Attempter) NewConnRequest(req Request, objectives time.Duration) connector.Request {
	allowed := objectives * req.Route.Objective
	due := req.Received.Add(allowed)
	return connector.Request{
		Team: req.Team, Priority: req.Route.Priority, WaitDeadline: placer.WaitDeadline(req.Received, allowed),
		Remaining: due.Sub(t.cfg.Clock.Now()), Due: due, Left: req.Left, Values: req.Context.Values,
	}
}

// AttemptRead runs a read at a server unless it would probably be late there. It waits
// there no longer than spillWait; 0 means no limit but that of its objective.
func (t *Attempter) AttemptRead(b *connector.Backend, req Request, spillWait time.Duration, deadline time.Time, s ...exchanger.Statement) ([]exchanger.Answer, error) {
	cr := t.NewConnRequest(req, 1)
	if spillWait > 0 {
		cr.WaitDeadline = earliest(cr.WaitDeadline, t.cfg.Clock.Now().Add(spillWait))
	}
	return t.attempt(b, req, cr, deadline, s...)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// AttemptWrite sends a write once a connection is free.
func (t *Attempter) AttemptWrite(b *connector.Backend, req Request, deadline time.Time) ([]exchanger.Answer, error) {
	cr := t.NewConnRequest(req, WriteWaitFactor)
	cr.IsWrite = true
	return t.attempt(b, req, cr, deadline, req.Statement)
}

// attempt runs statements at one server and records what the answers show. Errors
// that wrap ErrNotSent mean that nothing ran.
func (t *Attempter) attempt(b *connector.Backend, req Request, cr connector.Request, deadline time.Time, s ...exchanger.Statement) ([]exchanger.Answer, error) {
	asked := t.cfg.Clock.Now()
	c, releaseSlot, err := t.cfg.Delegator.Acquire(b, cr)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	began := t.cfg.Clock.Now()
	leader, leased := t.leasedLeader(req.Route.Service, b)
	answers, err := b.Exchange(c, cr.IsWrite, func() ([]exchanger.Answer, error) { return c.Run(deadline, req.Context, s...) })
	releaseSlot()
	isIdle := err == nil && answers[len(answers)-1].State == exchanger.Idle
	c.Release(isIdle)
	now := t.cfg.Clock.Now()
	if !cr.IsWrite && appraiser.IsSingleRead(s[0]) {
		took := now.Sub(began)
		if wait, ok := c.SlotWait(); ok {
			took -= wait
		}
		t.cfg.Appraiser.GradeRead(b, req.Route.Name, took, answers, err)
	}
	t.logSlow(req, b, began.Sub(asked), now.Sub(began))
	switch {
	case err != nil && len(answers) == 0:
		if errors.Is(err, exchanger.ErrNotSent) {
			return nil, errors.Join(ErrNotSent, err)
		}
		return nil, err
	case err != nil:
		return answers, err
	}
	if leased && !answers[0].Position.IsZero() {
		t.cfg.Groups.Group(req.Route.Service).AddSample(attester.Sample{At: began, Position: answers[0].Position, Term: leader.Term})
	}
	b.ObservePosition(now, s[0], answers[0])
	t.count.latency.Update(now.Sub(began).Microseconds())
	return answers, nil
}

// logSlow logs where the time of an attempt went that took longer than the
// objective.
func (t *Attempter) logSlow(req Request, b *connector.Backend, waited, took time.Duration) {
	if waited+took <= req.Route.Objective {
		return
	}
	t.cfg.Log.WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "server": b.ID,
		"waited_for_connection": waited.String(), "at_server": took.String(),
	}).Info("dispatcher: attempt was slow")
}

// ShorterWait returns the shorter one of the known wait, 0 if there is none, and that of
// the refusal, if it is an overload.
func ShorterWait(known time.Duration, refusal error) time.Duration {
	var o connector.Overload
	if !errors.As(refusal, &o) || o.Wait <= 0 || known > 0 && known <= o.Wait {
		return known
	}
	return o.Wait
}
