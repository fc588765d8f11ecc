package dispatcher

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/placer"
)

// refuse ends a request that was not run, at once and truthfully.
func (d *Dispatcher) refuse(req Request, code exchanger.Code, reason string, err error) exchanger.Answer {
	d.count.refusals.Inc(1)
	d.cfg.Log.WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "reads": req.Route.Reads.String(), "code": code.String(), "reason": reason,
		"waited": d.cfg.Clock.Since(req.Received).String(), "cause": text(err),
	}).Info("dispatcher: request is refused")
	return exchanger.ErrorAnswer(code, exchanger.Idle, reason+"; retry later")
}

func (d *Dispatcher) noteRetry(req Request, server, reason string, err error) {
	d.count.retries.Inc(1)
	d.cfg.Log.WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "server": server, "reason": reason, "cause": text(err),
	}).Info("dispatcher: attempt did not run; trying again")
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// attemptRead runs a read at a server where it is not expected to be late. One
// that may spill does not wait long there: other servers are left.
func (d *Dispatcher) attemptRead(b *backend, req Request, maySpill bool, deadline time.Time, s ...exchanger.Statement) ([]exchanger.Answer, error) {
	n := d.need(req, 1)
	if maySpill {
		n.wait = earliest(n.wait, placer.SpillLimit(d.cfg.Clock.Now(), req.Route.Objective))
	}
	return d.attempt(b, req, n, deadline, s...)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// attempt runs statements at one server. A lost connection that was idle
// before is no sign that the server is down.
func (d *Dispatcher) attempt(b *backend, req Request, n need, deadline time.Time, s ...exchanger.Statement) ([]exchanger.Answer, error) {
	asked := d.cfg.Clock.Now()
	l, leave, err := d.link(b, n)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	began := d.cfg.Clock.Now()
	leader, permitted := d.permittedLeader(req.Route.Service, b)
	answers, err := d.exchange(b, l, n.isWrite, func() ([]exchanger.Answer, error) { return l.Run(deadline, req.Context, s...) })
	leave()
	atRest := err == nil && answers[len(answers)-1].State == exchanger.Idle
	b.release(l, atRest)
	now := d.cfg.Clock.Now()
	d.noteSlow(req, b, began.Sub(asked), now.Sub(began))
	switch {
	case err != nil && len(answers) == 0:
		if errors.Is(err, exchanger.ErrNotSent) {
			return nil, errors.Join(errNotSent, err)
		}
		return nil, err
	case err != nil:
		return answers, err
	}
	if permitted && !answers[0].Position.IsZero() {
		d.Group(req.Route.Service).AddSample(attester.Sample{At: began, Position: answers[0].Position, Term: leader.Term})
	}
	d.count.latency.Update(now.Sub(began).Microseconds())
	return answers, nil
}

// exchange runs something on a link of the server and observes what it shows.
func (d *Dispatcher) exchange(b *backend, l link, isWrite bool, run func() ([]exchanger.Answer, error)) ([]exchanger.Answer, error) {
	began := d.cfg.Clock.Now()
	defer b.exchanges.begin(began)()
	if isWrite {
		defer b.writes.begin(began)()
	}
	answers, err := run()
	now := d.cfg.Clock.Now()
	if f, ok := l.(*forwardedLink); ok {
		began = began.Add(f.queued)
	}
	switch {
	case err == nil:
		b.observe(now, now.Sub(began), answers[0].Code, nil)
	case len(answers) == 0 && !errors.Is(err, errGateway):
		b.observe(now, 0, exchanger.Success, err)
	}
	return answers, err
}

// noteSlow logs where the time of a late attempt went.
func (d *Dispatcher) noteSlow(req Request, b *backend, waited, took time.Duration) {
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

// overload is errOverloaded with the wait that was expected.
type overload struct{ wait time.Duration }

// Error implements error.
func (o overload) Error() string { return errOverloaded.Error() + ", expected wait " + o.wait.String() }

// Is makes an overload equal to errOverloaded.
func (o overload) Is(target error) bool { return target == errOverloaded }

// errStalled means that the commits of a primary are not acknowledged.
var errStalled = errors.New("no replica receives the primary's commits")

// errSilent means that a server has answered nothing for a while.
var errSilent = errors.New("the backend server does not answer")

// errNotSent marks attempts that never reached a server.
var errNotSent = errors.New("statement was not sent")
