package observer

import (
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
	// LackMemory is how long a replica without any answer is asked for its position.
	LackMemory = 5 * time.Second
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
	if now.Sub(p.at) > LackMemory || lag < minReportedLag && p.position.Compare(p.lacked) >= 0 {
		p.forgetLack()
		return false
	}
	return max(lag, p.at.Sub(p.lackedSince)) >= minReportedLag
}

// forgetLack forgets what the replica lacked.
func (p *progress) forgetLack() { p.lacked, p.lackedSince = tracker.Position{}, time.Time{} }

// ObservePosition records the position in an answer of the server to a statement.
func (o *Observer) ObservePosition(now time.Time, s exchanger.Statement, a exchanger.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.progress.observe(now, s, a)
}

// ForgetLack forgets which position the server lacked, because it is the primary.
func (o *Observer) ForgetLack() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.progress.forgetLack()
}

// Progress returns how far the server has applied the log if it is a replica that is behind,
// and forgets what it lacked if it has caught up. PassedAt returns when the primary's log
// went beyond a position; false if that is not known.
func (o *Observer) Progress(now time.Time, passedAt func(tracker.Position) (time.Time, bool)) (placer.Progress, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.progress.lackedSince.IsZero() {
		return placer.Progress{}, false
	}
	passed, _ := passedAt(o.progress.position)
	if !o.progress.isBehind(now, passed) {
		return placer.Progress{}, false
	}
	return placer.Progress{Position: o.progress.position, At: o.progress.at, PassedAt: passed}, true
}

// LacksPosition reports whether the server lacked a position that a read required, and
// when it last told its own.
func (o *Observer) LacksPosition() (at time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.progress.at, !o.progress.lackedSince.IsZero()
}

// BeginPositionQuery reports whether the server may be asked for its position: one query is
// under way at a time. [Observer.EndPositionQuery] ends it.
func (o *Observer) BeginPositionQuery() bool { return o.isAskedForPosition.CompareAndSwap(false, true) }

// EndPositionQuery ends a query for the server's position.
func (o *Observer) EndPositionQuery() { o.isAskedForPosition.Store(false) }
