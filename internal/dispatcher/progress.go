package dispatcher

import (
	"math/rand/v2"
	"time"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/observer"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// positionInterval is the age from which a position of a replica that is behind is
	// asked for. Reports and what is known of a server expire after about three of them.
	positionInterval = 200 * time.Millisecond
	// maxPositionAge is how old a reported position may be.
	maxPositionAge = 500 * time.Millisecond
	// positionTimeout limits the query for it. A shorter one would take a busy replica for
	// one that has failed.
	positionTimeout = time.Second
)

// progressBehind returns the server's own answers' progress if it is a replica that is
// behind.
func (d *Dispatcher) progressBehind(b *connector.Backend, now time.Time) (placer.Progress, bool) {
	g := d.Group(b.Target().Service)
	if l, ok := g.Leader(); ok && l.Server.ID == b.ID {
		b.ForgetLack()
	}
	return b.Progress(now, g.PassedAt)
}

// progressOf returns what is known of a replica that is behind: what its gateway reports
// or, if that is newer, what it answered to this instance.
func (d *Dispatcher) progressOf(b *connector.Backend, now time.Time) (placer.Progress, bool) {
	own, isBehind := d.progressBehind(b, now)
	isBehind = isBehind && now.Sub(own.At) <= observer.BehindMemory
	if d.cfg.PositionAt == nil {
		return own, isBehind
	}
	position, at, ok := d.cfg.PositionAt(b.ID)
	if !ok || isBehind && own.At.After(at) {
		return own, isBehind
	}
	passedAt, _ := d.Group(b.Target().Service).PassedAt(position)
	return placer.Progress{Position: position, At: at, PassedAt: passedAt}, true
}

// followPositions asks replicas that lacked a position for their newest one, so that
// reports about them go on while no read is sent to them.
func (d *Dispatcher) followPositions() {
	for {
		select {
		case <-d.cfg.Clock.After(positionInterval):
		case <-d.stop:
			return
		}
		now := d.cfg.Clock.Now()
		for _, b := range d.backends.Scheduled(now) {
			at, lacks := b.LacksPosition()
			if !lacks || now.Sub(at) < positionInterval {
				continue
			}
			// It forgets what a server lacked that has become the primary or has long been silent.
			if _, isBehind := d.progressBehind(b, now); (isBehind || now.Sub(at) <= observer.LackMemory) && b.BeginPositionQuery() {
				go d.askPosition(b, now.Add(positionTimeout))
			}
		}
	}
}

// askPosition asks the server for its position, one query at a time.
func (d *Dispatcher) askPosition(b *connector.Backend, deadline time.Time) {
	defer b.EndPositionQuery()
	d.count.positionQueries.Inc(1)
	status := exchanger.Statement{Kind: exchanger.Status}
	if answers, err := d.Ask(b, status, deadline); err == nil {
		b.ObservePosition(d.cfg.Clock.Now(), status, answers[0])
	}
}

// refuseRead refuses a read that no server could run. The text says when to come back if
// a replica will have the position that the read requires, or the queue of a server, whose
// wait is given, will be short enough; a wait of 0 means that no queue was too long.
func (d *Dispatcher) refuseRead(req Request, pos minPosition, reason string, wait time.Duration) exchanger.Answer {
	now := d.cfg.Clock.Now()
	var estimates []time.Duration
	if wait > 0 {
		estimates = append(estimates, wait-req.Route.Objective/2)
	}
	for _, b := range d.backends.BackendsOf(req.Route.Service, now) {
		if p, ok := d.progressOf(b, now); ok && p.Lacks(pos.floor(), now) {
			estimates = append(estimates, p.CoversAt(pos.floor()).Sub(now))
		}
	}
	if len(estimates) == 0 {
		return d.refuse(req, exchanger.Busy, reason, nil)
	}
	d.count.refusalsWithTime.Inc(1)
	return d.refuseUntil(req, reason, placer.RetryDelay(estimates, rand.Float64()))
}
