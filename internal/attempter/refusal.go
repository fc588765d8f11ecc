package attempter

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
)

// refuse logs the refusal of a request that was not run and returns the answer.
func (t *Attempter) refuse(req Request, code exchanger.Code, reason string, err error) exchanger.Answer {
	t.count.refusals.Inc(1)
	t.cfg.Log.WithFields(withTeam(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "reads": req.Route.Reads.String(), "code": code.String(), "reason": reason,
		"waited": t.cfg.Clock.Since(req.Received).String(), "cause": errorText(err),
	}, req.Team)).Info("dispatcher: request is refused")
	return exchanger.ErrorAnswer(code, exchanger.Idle, reason+"; retry later")
}

// NoPrimaryText returns what a caller is told when [Attempter.AwaitPrimary] has returned the
// error.
func NoPrimaryText(err error) string {
	if errors.Is(err, connector.ErrDrained) {
		return "the primary is leaving and no other one is known"
	}
	return "no primary is known"
}

// refuseUntil refuses a request of which nothing ran, and tells the caller when to come back.
func (t *Attempter) refuseUntil(req Request, reason string, err error, after time.Duration) exchanger.Answer {
	a := t.refuse(req, exchanger.Busy, reason, err)
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

// LogRetry counts and logs an attempt that did not run and is followed by another one.
func (t *Attempter) LogRetry(req Request, server, reason string, err error) {
	t.count.retries.Inc(1)
	t.cfg.Log.WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "server": server, "reason": reason, "cause": errorText(err),
	}).Info("dispatcher: attempt did not run; trying again")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
