package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/appraiser"
	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
)

// refuse logs the refusal of a request that was not run and returns the answer.
func (d *Dispatcher) refuse(req Request, code exchanger.Code, reason string, err error) exchanger.Answer {
	d.count.refusals.Inc(1)
	d.cfg.Log.WithFields(withTeam(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "reads": req.Route.Reads.String(), "code": code.String(), "reason": reason,
		"waited": d.cfg.Clock.Since(req.Received).String(), "cause": errorText(err),
	}, req.Team)).Info("dispatcher: request is refused")
	return exchanger.ErrorAnswer(code, exchanger.Idle, reason+"; retry later")
}

// refuseUntil refuses a request of which nothing ran, and tells the caller when to come back.
func (d *Dispatcher) refuseUntil(req Request, reason string, err error, after time.Duration) exchanger.Answer {
	a := d.refuse(req, exchanger.Busy, reason, err)
	a.Text = fmt.Sprintf("%s; nothing ran, retry in %d ms", reason, after.Milliseconds())
	return a
}

// withTeam adds the team of a request, if any, to the fields of a log line.
func withTeam(f logrus.Fields, team string) logrus.Fields {
	if team != "" {
		f["team"] = team
	}
	return f
}

func (d *Dispatcher) logRetry(req Request, server, reason string, err error) {
	d.count.retries.Inc(1)
	d.cfg.Log.WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "server": server, "reason": reason, "cause": errorText(err),
	}).Info("dispatcher: attempt did not run; trying again")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// attemptRead runs a read at a server unless it would probably be late there. It waits
// there no longer than spillWait; 0 means no limit but that of its objective.
func (d *Dispatcher) attemptRead(b *connector.Backend, req Request, spillWait time.Duration, deadline time.Time, s ...exchanger.Statement) ([]exchanger.Answer, error) {
	cr := d.newConnRequest(req, 1)
	if spillWait > 0 {
		cr.WaitDeadline = earliest(cr.WaitDeadline, d.cfg.Clock.Now().Add(spillWait))
	}
	return d.attempt(b, req, cr, deadline, s...)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// attempt runs statements at one server and records what the answers show. Errors
// that wrap errNotSent mean that nothing ran.
func (d *Dispatcher) attempt(b *connector.Backend, req Request, cr connector.Request, deadline time.Time, s ...exchanger.Statement) ([]exchanger.Answer, error) {
	asked := d.cfg.Clock.Now()
	c, releaseSlot, err := d.delegator.Acquire(b, cr)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	began := d.cfg.Clock.Now()
	leader, leased := d.leasedLeader(req.Route.Service, b)
	answers, err := b.Exchange(c, cr.IsWrite, func() ([]exchanger.Answer, error) { return c.Run(deadline, req.Context, s...) })
	releaseSlot()
	isIdle := err == nil && answers[len(answers)-1].State == exchanger.Idle
	c.Release(isIdle)
	now := d.cfg.Clock.Now()
	if !cr.IsWrite && appraiser.IsSingleRead(s[0]) {
		took := now.Sub(began)
		if wait, ok := c.SlotWait(); ok {
			took -= wait
		}
		d.appraiser.GradeRead(b, req.Route.Name, took, answers, err)
	}
	d.logSlow(req, b, began.Sub(asked), now.Sub(began))
	switch {
	case err != nil && len(answers) == 0:
		if errors.Is(err, exchanger.ErrNotSent) {
			return nil, errors.Join(errNotSent, err)
		}
		return nil, err
	case err != nil:
		return answers, err
	}
	if leased && !answers[0].Position.IsZero() {
		d.Group(req.Route.Service).AddSample(attester.Sample{At: began, Position: answers[0].Position, Term: leader.Term})
	}
	b.ObservePosition(now, s[0], answers[0])
	d.count.latency.Update(now.Sub(began).Microseconds())
	return answers, nil
}

// logSlow logs where the time of an attempt went that took longer than the
// objective.
func (d *Dispatcher) logSlow(req Request, b *connector.Backend, waited, took time.Duration) {
	if waited+took <= req.Route.Objective {
		return
	}
	d.cfg.Log.WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "server": b.ID,
		"waited_for_connection": waited.String(), "at_server": took.String(),
	}).Info("dispatcher: attempt was slow")
}

// shorterWait returns the shorter one of the known wait, 0 if there is none, and that of
// the refusal, if it is an overload.
func shorterWait(known time.Duration, refusal error) time.Duration {
	var o connector.Overload
	if !errors.As(refusal, &o) || o.Wait <= 0 || known > 0 && known <= o.Wait {
		return known
	}
	return o.Wait
}

// errNotSent marks attempts whose statements were not sent to a server.
var errNotSent = errors.New("statement was not sent")

// callerLeftAnswer ends a read whose caller has left. It does not promise that nothing ran: a
// gateway may have begun the read when it was withdrawn, and the team pays for it.
var callerLeftAnswer = exchanger.Answer{Code: exchanger.Failed, Text: "the caller has left"}
