package dispatcher

import (
	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

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

// readAnywhere runs a read at the server that is expected to answer first among
// those that cover the minimum position. If it does not answer, another one is asked
// as well.
func (d *Dispatcher) readAnywhere(req Request) exchanger.Answer {
	deadline := req.Deadline(req.Received)
	pos, err := d.places.MinPosition(req, req.PrimaryWaitDeadline(req.Received))
	if err != nil {
		return d.attempts.RefuseAtPrimary(req, "no current position is known", err, req.Route.Objective/2)
	}
	r := &hedgedRead{d: d, req: req, minPosition: pos, deadline: deadline, budget: d.hedgeBudget(req.Route.Service), tried: map[string]bool{}, results: make(chan readResult, attempter.MaxAttempts)}
	return r.run()
}

func (d *Dispatcher) countReplicaRead(service, server string) {
	if l, ok := d.Group(service).Leader(); !ok || l.Server.ID != server {
		d.count.readsAtReplicas.Inc(1)
	}
}
