package dispatcher

import (
	"errors"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/tracker"
)

const (
	// minReportedLag is how long a replica has lacked a position when it counts as
	// behind. Replicas that work well are some 50 ms behind; below this limit the next
	// answer is as good as a report, which is some tenths of a second old.
	minReportedLag = 250 * time.Millisecond
	// positionInterval is the age from which a position of a replica that is behind is
	// asked for. Reports and what is known of a server expire after about three of them.
	positionInterval = 200 * time.Millisecond
	// maxPositionAge is how old a reported position may be.
	maxPositionAge = 500 * time.Millisecond
	// positionTimeout limits the query for it. A shorter one would take a busy replica for
	// one that has failed.
	positionTimeout = time.Second
	// lackMemory is how long a replica without any answer is asked for its position.
	lackMemory = 5 * time.Second
)

// progress is how far a replica has applied the log, by its answers.
type progress struct {
	// position is the newest known end of the replica's log, and at when it had it.
	position tracker.Position
	at       time.Time
	// lacked is the first position that the replica lacked and that it is not known to
	// have now; lackedSince is when it first lacked it, zero if it lacks nothing.
	lacked      tracker.Position
	lackedSince time.Time
}

// observe records the position in an answer to a statement.
func (p *progress) observe(now time.Time, s exchanger.Statement, a exchanger.Answer) {
	if a.Position.IsZero() {
		return
	}
	p.position, p.at = a.Position, now
	if a.Code == exchanger.Behind {
		// What a replica holds may differ from what its reads show.
		if p.position.Compare(s.MinPosition) >= 0 && s.MinPosition.Offset > 0 {
			p.position = tracker.Position{Term: s.MinPosition.Term, Offset: s.MinPosition.Offset - 1}
		}
		if p.lackedSince.IsZero() {
			p.lacked, p.lackedSince = s.MinPosition, now
		}
	}
}

// isBehind reports whether the replica had been behind for a while when it last told its
// position, and forgets what it lacked if it has caught up. PassedAt is when the primary's
// log went beyond the position; zero if that is not known.
func (p *progress) isBehind(now, passedAt time.Time) bool {
	if p.lackedSince.IsZero() {
		return false
	}
	lag := placer.Progress{At: p.at, PassedAt: passedAt}.Lag()
	if now.Sub(p.at) > lackMemory || lag < minReportedLag && p.position.Compare(p.lacked) >= 0 {
		p.forgetLack()
		return false
	}
	return max(lag, p.at.Sub(p.lackedSince)) >= minReportedLag
}

// forgetLack forgets what the replica lacked.
func (p *progress) forgetLack() { p.lacked, p.lackedSince = tracker.Position{}, time.Time{} }

// observePosition records the position in an answer of the server to a statement.
func (b *backend) observePosition(now time.Time, s exchanger.Statement, a exchanger.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evidence.progress.observe(now, s, a)
}

// progressBehind returns the server's own answers' progress if it is a replica that is
// behind.
func (d *Dispatcher) progressBehind(b *backend, now time.Time) (placer.Progress, bool) {
	g := d.Group(b.Target().Service)
	l, ok := g.Leader()
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok && l.Server.ID == b.id {
		b.evidence.progress.forgetLack()
	}
	if b.evidence.progress.lackedSince.IsZero() {
		return placer.Progress{}, false
	}
	passedAt, _ := g.PassedAt(b.evidence.progress.position)
	if !b.evidence.progress.isBehind(now, passedAt) {
		return placer.Progress{}, false
	}
	return placer.Progress{Position: b.evidence.progress.position, At: b.evidence.progress.at, PassedAt: passedAt}, true
}

// progressOf returns what is known of a replica that is behind: what its gateway reports
// or, if that is newer, what it answered to this instance.
func (d *Dispatcher) progressOf(b *backend, now time.Time) (placer.Progress, bool) {
	own, isBehind := d.progressBehind(b, now)
	isBehind = isBehind && now.Sub(own.At) <= behindMemory
	if d.cfg.PositionAt == nil {
		return own, isBehind
	}
	position, at, ok := d.cfg.PositionAt(b.id)
	if !ok || isBehind && own.At.After(at) {
		return own, isBehind
	}
	passedAt, _ := d.Group(b.Target().Service).PassedAt(position)
	return placer.Progress{Position: position, At: at, PassedAt: passedAt}, true
}

// lacksPosition reports whether the server lacked a position that a read required, and
// when it last told its own.
func (b *backend) lacksPosition() (at time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evidence.progress.at, !b.evidence.progress.lackedSince.IsZero()
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
		for _, b := range d.scheduledBackends(now) {
			at, lacks := b.lacksPosition()
			if !lacks || now.Sub(at) < positionInterval {
				continue
			}
			// It forgets what a server lacked that has become the primary or has long been silent.
			if _, isBehind := d.progressBehind(b, now); (isBehind || now.Sub(at) <= lackMemory) && b.evidence.isAskedForPosition.CompareAndSwap(false, true) {
				go d.askPosition(b, now.Add(positionTimeout))
			}
		}
	}
}

// askPosition asks the server for its position, one query at a time.
func (d *Dispatcher) askPosition(b *backend, deadline time.Time) {
	defer b.evidence.isAskedForPosition.Store(false)
	d.count.positionQueries.Inc(1)
	status := exchanger.Statement{Kind: exchanger.Status}
	if answers, err := d.askServer(b, status, deadline); err == nil {
		b.observePosition(d.cfg.Clock.Now(), status, answers[0])
	}
}

// refuseRead refuses a read that no server could run; err is why, if that is known. The text says when to come back if
// a replica will have the position that the read requires, or the queue of a server, whose
// wait is given, will be short enough; a wait of 0 means that no queue was too long.
func (d *Dispatcher) refuseRead(req Request, pos minPosition, reason string, err error, wait time.Duration) exchanger.Answer {
	now := d.cfg.Clock.Now()
	var estimates []time.Duration
	if wait > 0 {
		estimates = append(estimates, wait-req.Route.Objective/2)
	}
	if errors.Is(err, errNoRetries) && wait == 0 {
		estimates = append(estimates, avoidAfterRefusal)
	}
	for _, b := range d.backendsOf(req.Route.Service, now) {
		if p, ok := d.progressOf(b, now); ok && p.Lacks(pos.floor(), now) {
			estimates = append(estimates, p.CoversAt(pos.floor()).Sub(now))
		}
	}
	return d.refuseWithTime(req, reason, err, d.backendsOf(req.Route.Service, now), estimates...)
}
