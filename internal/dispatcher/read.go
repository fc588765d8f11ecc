package dispatcher

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
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
	hold := req.holdUntil(req.Received)
	f, err := d.floorOf(req, hold)
	if err != nil {
		return d.refuse(req, exchanger.Busy, "no current position is known", err)
	}
	tried := map[string]bool{}
	last := exchanger.Answer{Code: exchanger.Busy}
	var least *backend
	var leastWait time.Duration
	for range maxAttempts {
		b := d.chooseRead(req, f, tried)
		maySpill := b != nil
		if b == nil {
			// Every server was asked: the least loaded one is worth a wait.
			if b = least; b == nil {
				break
			}
			least = nil
		}
		tried[b.id] = true
		answers, err := d.attemptRead(b, req, maySpill, deadline, req.Statement.WithFloor(f.position))
		var o overload
		switch {
		case errors.Is(err, errNotSent):
			d.noteRetry(req, b.id, "not sent", err)
			if errors.As(err, &o) && maySpill && (least == nil || o.wait < leastWait) {
				least, leastWait = b, o.wait
			}
		case err != nil:
			d.noteRetry(req, b.id, "no answer", err)
			last = exchanger.Answer{Code: exchanger.Failed, Text: "the answer was lost"}
		case answers[0].OK() || answers[0].Code == exchanger.Timeout:
			d.countReplicaRead(req.Route.Service, b.id)
			return answers[0]
		default:
			if answers[0].Code == exchanger.Behind {
				d.noteBehind(req, b, f, answers[0].Position)
			} else {
				d.noteRetry(req, b.id, answers[0].Code.String(), nil)
			}
			last = answers[0]
		}
		if !d.cfg.Clock.Now().Before(deadline) {
			break
		}
	}
	if last.Code == exchanger.Failed {
		return last
	}
	return d.refuse(req, exchanger.Busy, "no backend server could run the read", nil)
}

// noteBehind records that a replica did not cover a read's floor.
func (d *Dispatcher) noteBehind(req Request, b *backend, f floor, has tracker.Position) {
	age := d.cfg.Clock.Since(f.at)
	b.lacked(d.cfg.Clock.Now(), age)
	d.count.retries.Inc(1)
	d.cfg.Log.WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "server": b.id, "reason": exchanger.Behind.String(),
		"floor": f.position.String(), "floor_age": age.String(), "server_has": has.String(),
	}).Info("dispatcher: attempt did not run; trying again")
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
