package dispatcher

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// maxAttempts bounds how often one statement is sent.
	maxAttempts = 4
	// busyPause separates attempts at a server whose queue was full: the time
	// in which it ends a request or two.
	busyPause = 10 * time.Millisecond
)

// floor is a position that a read's server must cover, with the time from
// which replicas had it available.
type floor struct {
	position tracker.Position
	at       time.Time
}

// Run runs a statement outside a transaction.
func (d *Dispatcher) Run(req Request) exchanger.Answer {
	var a exchanger.Answer
	switch {
	case req.IsWrite():
		d.count.writes.Inc(1)
		a = d.runWrite(req)
	case req.Route.Reads == informer.PrimaryReads:
		d.count.reads.Inc(1)
		a = d.readAtLeader(req)
	default:
		d.count.reads.Inc(1)
		a = d.readAnywhere(req)
	}
	a.State = exchanger.Idle
	return a
}

// refuse ends a request that was not run, at once and truthfully.
func (d *Dispatcher) refuse(req Request, code exchanger.Code, reason string, err error) exchanger.Answer {
	d.count.refusals.Inc(1)
	d.cfg.Log.WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "reads": req.Route.Reads.String(), "code": code.String(), "reason": reason,
		"waited": d.cfg.Clock.Since(req.Received).String(), "cause": text(err),
	}).Info("dispatcher: request is refused")
	return exchanger.Refusal(code, exchanger.Idle, reason+"; retry later")
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

// floorOf returns what a bounded or session read must cover.
func (d *Dispatcher) floorOf(req Request, deadline time.Time) (floor, error) {
	s, err := d.Group(req.Route.Service).AwaitFloor(req.Received.Add(-req.Route.MaxStaleness), deadline)
	if err != nil {
		return floor{}, err
	}
	f := floor{position: s.Position, at: s.At}
	if req.Route.Reads == informer.SessionReads && req.Floor.Compare(f.position) > 0 {
		f = floor{position: req.Floor, at: req.FloorAt}
	}
	return f, nil
}

// readAnywhere runs a read at the server that is expected to answer first
// among those that cover the floor.
func (d *Dispatcher) readAnywhere(req Request) exchanger.Answer {
	deadline := req.deadline(req.Received)
	hold := req.Received.Add(placer.HoldLimit(req.Route.Objective, req.Route.StatementTimeout))
	f, err := d.floorOf(req, hold)
	if err != nil {
		return d.refuse(req, exchanger.Busy, "no current position is known", err)
	}
	tried := map[string]bool{}
	last := exchanger.Answer{Code: exchanger.Busy}
	for range maxAttempts {
		b := d.chooseRead(req, f, tried)
		if b == nil {
			break
		}
		answers, err := d.attemptRead(b, req, deadline, req.Statement.WithFloor(f.position))
		switch {
		case errors.Is(err, errNotSent):
			d.noteRetry(req, b.id, "not sent", err)
		case err != nil:
			d.noteRetry(req, b.id, "no answer", err)
			last = exchanger.Answer{Code: exchanger.Failed, Text: "the answer was lost"}
		case answers[0].OK() || answers[0].Code == exchanger.Timeout:
			d.countReplicaRead(req.Route.Service, b.id)
			return answers[0]
		default:
			if answers[0].Code == exchanger.Behind {
				b.lacked(d.cfg.Clock.Now(), d.cfg.Clock.Since(f.at))
			}
			d.noteRetry(req, b.id, answers[0].Code.String(), nil)
			last = answers[0]
		}
		tried[b.id] = true
		if !d.cfg.Clock.Now().Before(deadline) {
			break
		}
	}
	if last.Code == exchanger.Failed {
		return last
	}
	return d.refuse(req, exchanger.Busy, "no backend server could run the read", nil)
}

func (d *Dispatcher) countReplicaRead(service, server string) {
	if l, ok := d.Group(service).Leader(); !ok || l.Server.ID != server {
		d.count.readsAtReplicas.Inc(1)
	}
}

func (d *Dispatcher) chooseRead(req Request, f floor, tried map[string]bool) *backend {
	now := d.cfg.Clock.Now()
	leader := ""
	if l, ok := d.Group(req.Route.Service).Leader(); ok {
		leader = l.Server.ID
	}
	var backends []*backend
	var candidates []placer.Candidate
	for _, b := range d.backendsOf(req.Route.Service, now) {
		if !tried[b.id] {
			backends = append(backends, b)
			candidates = append(candidates, b.candidate(now, d.cfg.Zone, leader, now.Sub(f.at)))
		}
	}
	if i := placer.ChooseRead(candidates); i >= 0 {
		return backends[i]
	}
	return nil
}

// attemptRead runs a read at a server where it is not expected to be late.
func (d *Dispatcher) attemptRead(b *backend, req Request, deadline time.Time, s ...exchanger.Statement) ([]exchanger.Answer, error) {
	if b.isSilent(d.cfg.Clock.Now()) {
		return nil, errors.Join(errNotSent, errSilent)
	}
	load := b.load()
	if !load.Admits(req.Received.Add(req.Route.Objective).Sub(d.cfg.Clock.Now())) {
		return nil, errors.Join(errNotSent, errOverloaded)
	}
	if req.Route.Reads == informer.BoundedReads && !load.HasSpare() && d.isLeader(req.Route.Service, b) {
		return nil, errors.Join(errNotSent, errOverloaded)
	}
	return d.attempt(b, req, placer.WaitLimit(req.Received, req.Route.Objective), deadline, s...)
}

// attempt runs statements at one server. A lost connection that was idle
// before is no sign that the server is down.
func (d *Dispatcher) attempt(b *backend, req Request, wait, deadline time.Time, s ...exchanger.Statement) ([]exchanger.Answer, error) {
	asked := d.cfg.Clock.Now()
	l, err := b.acquire(req.Route.Priority, wait, req.Context.Values)
	if errors.Is(err, linker.ErrNoLink) {
		return nil, errors.Join(errNotSent, errOverloaded, err)
	}
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	began := d.cfg.Clock.Now()
	defer b.exchanges.begin(began)()
	if req.IsWrite() {
		defer b.writes.begin(began)()
	}
	leader, permitted := d.permittedLeader(req.Route.Service, b)
	answers, err := l.Run(deadline, req.Context, s...)
	now := d.cfg.Clock.Now()
	atRest := err == nil && answers[len(answers)-1].State == exchanger.Idle
	b.release(l, atRest)
	d.noteSlow(req, b, began.Sub(asked), now.Sub(began))
	switch {
	case err != nil && len(answers) == 0:
		b.observe(now, 0, exchanger.Success, err)
		if errors.Is(err, exchanger.ErrNotSent) {
			return nil, errors.Join(errNotSent, err)
		}
		return nil, err
	case err != nil:
		return answers, err
	}
	b.observe(now, now.Sub(began), answers[0].Code, nil)
	if permitted && !answers[0].Position.IsZero() {
		d.Group(req.Route.Service).AddSample(attester.Sample{At: began, Position: answers[0].Position, Term: leader.Term})
	}
	d.count.latency.Update(now.Sub(began).Microseconds())
	return answers, nil
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

func (d *Dispatcher) isLeader(service string, b *backend) bool {
	l, ok := d.Group(service).Leader()
	return ok && l.Server.ID == b.id
}

// permittedLeader returns the leader if it is this server and is promised to
// lead now. Every answer of such a server tells a proved position.
func (d *Dispatcher) permittedLeader(service string, b *backend) (attester.Leader, bool) {
	g := d.Group(service)
	l, ok := g.Leader()
	return l, ok && l.Server.ID == b.id && g.IsPermitted(l)
}

// errOverloaded means that a request would wait too long for a connection.
var errOverloaded = errors.New("too many requests wait for the backend server")

// errSilent means that a server has answered nothing for a while.
var errSilent = errors.New("the backend server does not answer")

// errNotSent marks attempts that never reached a server.
var errNotSent = errors.New("statement was not sent")

// readAtLeader runs a read that must show every acknowledged commit: at the
// primary, proved to lead after the read arrived.
func (d *Dispatcher) readAtLeader(req Request) exchanger.Answer {
	g := d.Group(req.Route.Service)
	deadline := req.deadline(req.Received)
	hold := req.Received.Add(placer.HoldLimit(req.Route.Objective, req.Route.StatementTimeout))
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
	answers, err := d.attemptRead(b, req, deadline, req.Statement, exchanger.Statement{Kind: exchanger.Status})
	if err := d.checkLeaderRead(g, l, answers, err); err != nil {
		return exchanger.Answer{}, err
	}
	a, report := answers[0], answers[1]
	if !report.OK() {
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
	answers, err := d.attemptRead(b, req, deadline, req.Statement)
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
	case answers[0].Code.IsNotRun():
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
