// Package admitter bounds how many requests an instance runs at one backend
// server at a time, so that requests wait where their order can be chosen: a
// server's own queue serves them as they come, and refuses them when it is full.
//
// Requests with a lower priority number go first; among equals the one that is
// late soonest. Reads with a long objective so give way to short ones while both
// wait, and no request is kept behind one that can still wait.
package admitter

import (
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/queuer"
)

// ErrNotAdmitted means that a request's turn did not come in time; nothing was sent.
var ErrNotAdmitted = errors.New("the request's turn at the backend server did not come in time")

// Urgency decides whose turn is next.
type Urgency struct {
	Priority int
	// Due is when the request is late.
	Due time.Time
}

// Before reports whether u goes before o.
func (u Urgency) Before(o Urgency) bool {
	if u.Priority != o.Priority {
		return u.Priority < o.Priority
	}
	return u.Due.Before(o.Due)
}

// waiter is a request that waits for its turn.
type waiter struct {
	Urgency
	// admitted gets nil when the turn has come, or why it will not.
	admitted chan error
}

// Limiter lets a limited number of requests pass at a time.
type Limiter struct {
	clock clockwork.Clock

	mu         sync.Mutex
	limit      int
	queueLimit int
	running    int
	waiters    *queuer.Queue[*waiter]
}

// New returns a gate that lets limit requests pass at a time while room others
// may wait.
func New(limit, queueLimit int, clock clockwork.Clock) *Limiter {
	return &Limiter{
		clock: clock, limit: max(limit, 1), queueLimit: max(queueLimit, 1),
		waiters: queuer.New(func(a, b *waiter) bool { return a.Before(b.Urgency) }),
	}
}

// Acquire waits for the request's turn until the deadline. When there is no more
// room to wait, the least urgent request gives up at once. Leave ends the turn;
// a turn that lasts longer than the limit ends by itself.
func (l *Limiter) Acquire(u Urgency, deadline time.Time, timeout time.Duration) (release func(), err error) {
	l.mu.Lock()
	if l.running < l.limit && l.waiters.Len() == 0 {
		l.running++
		l.mu.Unlock()
		return l.releaseFunc(timeout), nil
	}
	w := &waiter{Urgency: u, admitted: make(chan error, 1)}
	e := l.waiters.Push(w)
	l.evict()
	l.mu.Unlock()

	timer := l.clock.NewTimer(deadline.Sub(l.clock.Now()))
	defer timer.Stop()
	select {
	case err = <-w.admitted:
	case <-timer.Chan():
		l.mu.Lock()
		waiting := l.waiters.Remove(e)
		l.mu.Unlock()
		if waiting {
			return nil, ErrNotAdmitted
		}
		err = <-w.admitted
	}
	if err != nil {
		return nil, err
	}
	return l.releaseFunc(timeout), nil
}

// AcquireNow starts a turn at once, also beyond the number that may run: for the next
// statement of a transaction, whose work so far would be lost and whose
// connection nobody else can use.
func (l *Limiter) AcquireNow(timeout time.Duration) (release func()) {
	l.mu.Lock()
	l.running++
	l.mu.Unlock()
	return l.releaseFunc(timeout)
}

// releaseFunc returns what ends a turn that has begun. A server whose answers get lost
// is free again long before they are given up; without a limit, a few lost
// answers would keep all others waiting.
func (l *Limiter) releaseFunc(timeout time.Duration) (release func()) {
	var once sync.Once
	end := func() { once.Do(l.release) }
	timer := l.clock.AfterFunc(timeout, end)
	return func() {
		timer.Stop()
		end()
	}
}

// evict lets the least urgent waiters give up while there are too many. The
// caller holds mu.
func (l *Limiter) evict() {
	for l.waiters.Len() > l.queueLimit {
		last := l.waiters.Last()
		l.waiters.Remove(last)
		last.Value.admitted <- ErrNotAdmitted
	}
}

func (l *Limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.admit()
}

// SetLimits changes how many requests may pass at a time and how many may wait.
func (l *Limiter) SetLimits(limit, queueLimit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.queueLimit = max(limit, 1), max(queueLimit, 1)
	l.admit()
	l.evict()
}

// admit gives free turns to waiters. The caller holds mu.
func (l *Limiter) admit() {
	for l.running < l.limit {
		w, ok := l.waiters.Pop()
		if !ok {
			return
		}
		l.running++
		w.admitted <- nil
	}
}

// Stats is how busy a gate is.
type Stats struct {
	// Limit, and how many requests are Active within it.
	Limit, Running int
	// QueuedAhead is how many wait that would go before a new request.
	QueuedAhead int
}

// Stats returns how busy the gate is for a request of the urgency.
func (l *Limiter) Stats(u Urgency) Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Limit: l.limit, Running: l.running, QueuedAhead: l.waiters.CountBefore(&waiter{Urgency: u})}
}
