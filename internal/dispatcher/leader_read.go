package dispatcher

import (
	"errors"
	"time"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
)

// permittedLeader returns the leader if it is this server and is promised to
// lead now. Every answer of such a server tells a proved position.
func (d *Dispatcher) permittedLeader(service string, b *backend) (attester.Leader, bool) {
	g := d.Group(service)
	l, ok := g.Leader()
	return l, ok && l.Server.ID == b.id && g.IsPermitted(l)
}

// readAtLeader runs a read that must show every acknowledged commit: at the
// primary, proved to lead after the read arrived.
func (d *Dispatcher) readAtLeader(req Request) exchanger.Answer {
	g := d.Group(req.Route.Service)
	deadline := req.deadline(req.Received)
	hold := req.holdUntil(req.Received)
	var reason error
	for range maxAttempts {
		l, err := g.AwaitLeader(hold)
		if err != nil {
			return d.refuse(req, exchanger.Busy, "no primary is known", errors.Join(err, reason))
		}
		a, err := d.provedRead(g, l, req, deadline)
		if err == nil {
			return a
		}
		reason = err
		d.noteRetry(req, l.Server.ID, "read at the primary failed", err)
		if errors.Is(err, errOverloaded) || errors.Is(err, errSilent) || !d.cfg.Clock.Now().Before(deadline) {
			break
		}
	}
	return d.refuse(req, exchanger.Busy, "the primary could not run the read", reason)
}

// errRefused means that a server refused a statement without running it.
var errRefused = errors.New("backend server refused the statement")

func (d *Dispatcher) provedRead(g *attester.Group, l attester.Leader, req Request, deadline time.Time) (exchanger.Answer, error) {
	b := d.backend(l.Server.ID)
	if b == nil {
		g.Suspect(l.Server.ID, "not listed")
		return exchanger.Answer{}, errUnknownServer
	}
	if g.IsPermitted(l) {
		return d.permittedRead(g, l, b, req, deadline)
	}
	began := d.cfg.Clock.Now()
	witness := make(chan error, 1)
	go func() { witness <- g.Witness(req.Received, l, deadline) }()
	answers, err := d.attemptRead(b, req, false, deadline, req.Statement, exchanger.Statement{Kind: exchanger.Status})
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
	if err := <-witness; err != nil {
		return exchanger.Answer{}, err
	}
	g.AddSample(attester.Sample{At: began, Position: report.Report.Received, Term: l.Term})
	return a, nil
}

// permittedRead runs a read that is already proved.
func (d *Dispatcher) permittedRead(g *attester.Group, l attester.Leader, b *backend, req Request, deadline time.Time) (exchanger.Answer, error) {
	answers, err := d.attemptRead(b, req, false, deadline, req.Statement)
	if err := d.checkLeaderRead(g, l, answers, err); err != nil {
		return exchanger.Answer{}, err
	}
	return answers[0], nil
}

// checkLeaderRead returns why a read at the primary has to be tried again.
func (d *Dispatcher) checkLeaderRead(g *attester.Group, l attester.Leader, answers []exchanger.Answer, err error) error {
	switch {
	case errors.Is(err, errOverloaded):
		return err
	case err != nil:
		d.doubtUnreachable(g, l)
		return err
	case answers[0].Code.IsNotExecuted():
		d.cfg.Clock.Sleep(busyPause)
		return errors.Join(errRefused, errors.New(answers[0].Code.String()))
	}
	return nil
}

// doubtUnreachable looks for another primary when the known one did not answer.
func (d *Dispatcher) doubtUnreachable(g *attester.Group, l attester.Leader) {
	if b := d.backend(l.Server.ID); b == nil {
		g.Suspect(l.Server.ID, "not listed")
		return
	}
	g.Check()
}
