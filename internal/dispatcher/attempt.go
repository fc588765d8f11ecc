package dispatcher

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
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
func (d *Dispatcher) attemptRead(b *backend, req Request, spillWait time.Duration, deadline time.Time, s ...exchanger.Statement) ([]exchanger.Answer, error) {
	cr := d.newConnRequest(req, 1)
	if spillWait > 0 {
		cr.waitDeadline = earliest(cr.waitDeadline, d.cfg.Clock.Now().Add(spillWait))
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
func (d *Dispatcher) attempt(b *backend, req Request, cr connRequest, deadline time.Time, s ...exchanger.Statement) ([]exchanger.Answer, error) {
	asked := d.cfg.Clock.Now()
	c, releaseSlot, err := d.acquire(b, cr)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	began := d.cfg.Clock.Now()
	leader, leased := d.leasedLeader(req.Route.Service, b)
	answers, err := d.exchange(b, c, cr.isWrite, func() ([]exchanger.Answer, error) { return c.Run(deadline, req.Context, s...) })
	releaseSlot()
	isIdle := err == nil && answers[len(answers)-1].State == exchanger.Idle
	b.release(c, isIdle)
	now := d.cfg.Clock.Now()
	if !cr.isWrite && isSingleRead(s[0]) {
		took := now.Sub(began)
		if f, ok := c.(*forwardedConn); ok {
			took -= f.slotWait
		}
		d.gradeRead(b, req.Route.Name, took, answers, err)
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
	b.observePosition(now, s[0], answers[0])
	d.count.latency.Update(now.Sub(began).Microseconds())
	return answers, nil
}

// exchange runs statements on a connection to the server and records how the
// server answered. Failures of a gateway do not count against the server.
func (d *Dispatcher) exchange(b *backend, c conn, isWrite bool, run func() ([]exchanger.Answer, error)) ([]exchanger.Answer, error) {
	began := d.cfg.Clock.Now()
	defer b.exchanges.begin(began)()
	if isWrite {
		defer b.writes.begin(began)()
	}
	answers, err := run()
	now := d.cfg.Clock.Now()
	if f, ok := c.(*forwardedConn); ok {
		began = began.Add(f.slotWait)
		if err == nil && len(answers) > 0 {
			b.observeWait(now, f.slotWait)
		}
	}
	switch {
	case err == nil:
		b.observe(now, now.Sub(began), answers[0].Code, nil)
	case len(answers) == 0 && !errors.Is(err, errGateway):
		b.observe(now, 0, exchanger.Success, err)
	}
	return answers, err
}

// logSlow logs where the time of an attempt went that took longer than the
// objective.
func (d *Dispatcher) logSlow(req Request, b *backend, waited, took time.Duration) {
	if waited+took <= req.Route.Objective {
		return
	}
	d.cfg.Log.WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "server": b.id,
		"waited_for_connection": waited.String(), "at_server": took.String(),
	}).Info("dispatcher: attempt was slow")
}

// errOverloaded means that a request would wait too long for a connection.
var errOverloaded = errors.New("too many requests wait for the backend server")

// overload is errOverloaded with the expected wait.
type overload struct{ wait time.Duration }

// Error implements error.
func (o overload) Error() string { return errOverloaded.Error() + ", expected wait " + o.wait.String() }

// Is makes errors.Is match errOverloaded.
func (o overload) Is(target error) bool { return target == errOverloaded }

// shorterWait returns the shorter one of the known wait, 0 if there is none, and that of
// the refusal, if it is an overload.
func shorterWait(known time.Duration, refusal error) time.Duration {
	var o overload
	if !errors.As(refusal, &o) || o.wait <= 0 || known > 0 && known <= o.wait {
		return known
	}
	return o.wait
}

// errStalled means that no replica acknowledges the commits of a primary.
var errStalled = errors.New("no replica receives the primary's commits")

// errSilent means that a server has answered no request for a while.
var errSilent = errors.New("the backend server does not answer")

// errNotSent marks attempts whose statements were not sent to a server.
var errNotSent = errors.New("statement was not sent")
