package dispatcher

import (
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

// minPosition is a position that a read's server must cover, with the time from
// which replicas had it available.
type minPosition struct {
	position    tracker.Position
	availableAt time.Time
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

// minPositionFor returns what a bounded or session read must cover.
func (d *Dispatcher) minPositionFor(req Request, deadline time.Time) (minPosition, error) {
	s, err := d.Group(req.Route.Service).AwaitFloor(req.Received.Add(-req.Route.MaxStaleness), deadline)
	if err != nil {
		return minPosition{}, err
	}
	f := minPosition{position: s.Position, availableAt: s.At}
	if req.Route.Reads == informer.SessionReads && req.MinPosition.Compare(f.position) > 0 {
		f = minPosition{position: req.MinPosition, availableAt: req.MinPositionAt}
	}
	return f, nil
}

// readAnywhere runs a read at the server that is expected to answer first
// among those that cover the floor. While it does not answer, another one is
// asked as well.
func (d *Dispatcher) readAnywhere(req Request) exchanger.Answer {
	deadline := req.deadline(req.Received)
	f, err := d.minPositionFor(req, req.primaryWaitDeadline(req.Received))
	if err != nil {
		return d.refuse(req, exchanger.Busy, "no current position is known", err)
	}
	r := &hedgedRead{d: d, req: req, minPosition: f, deadline: deadline, tried: map[string]bool{}, results: make(chan readResult, maxAttempts)}
	return r.run()
}

// recordBehind records that a replica did not cover a read's floor.
func (d *Dispatcher) recordBehind(req Request, b *backend, f minPosition, has tracker.Position) {
	age := d.cfg.Clock.Since(f.availableAt)
	b.recordBehind(d.cfg.Clock.Now(), age)
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

func (d *Dispatcher) chooseRead(req Request, f minPosition, tried map[string]bool) *backend {
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
			candidates = append(candidates, b.candidate(now, d.cfg.Zone, leader, now.Sub(f.availableAt)))
		}
	}
	if i := placer.ChooseRead(candidates); i >= 0 {
		return backends[i]
	}
	return nil
}
