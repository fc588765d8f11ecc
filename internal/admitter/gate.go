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

// ErrFull means that a request's turn did not come in time; nothing was sent.
var ErrFull = errors.New("the request's turn at the backend server did not come in time")

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
	// turn gets nil when the turn has come, or why it will not.
	turn chan error
}

// Gate lets a limited number of requests pass at a time.
type Gate struct {
	clock clockwork.Clock

	mu      sync.Mutex
	limit   int
	room    int
	active  int
	waiters *queuer.Queue[*waiter]
}

// New returns a gate that lets limit requests pass at a time while room others
// may wait.
func New(limit, room int, clock clockwork.Clock) *Gate {
	return &Gate{
		clock: clock, limit: max(limit, 1), room: max(room, 1),
		waiters: queuer.New(func(a, b *waiter) bool { return a.Before(b.Urgency) }),
	}
}

// Enter waits for the request's turn until the deadline. When there is no more
// room to wait, the least urgent request gives up at once. Leave ends the turn;
// a turn that lasts longer than the limit ends by itself.
func (g *Gate) Enter(u Urgency, deadline time.Time, limit time.Duration) (leave func(), err error) {
	g.mu.Lock()
	if g.active < g.limit && g.waiters.Len() == 0 {
		g.active++
		g.mu.Unlock()
		return g.turn(limit), nil
	}
	w := &waiter{Urgency: u, turn: make(chan error, 1)}
	e := g.waiters.Push(w)
	g.evict()
	g.mu.Unlock()

	timer := g.clock.NewTimer(deadline.Sub(g.clock.Now()))
	defer timer.Stop()
	select {
	case err = <-w.turn:
	case <-timer.Chan():
		g.mu.Lock()
		waiting := g.waiters.Remove(e)
		g.mu.Unlock()
		if waiting {
			return nil, ErrFull
		}
		err = <-w.turn
	}
	if err != nil {
		return nil, err
	}
	return g.turn(limit), nil
}

// Join starts a turn at once, also beyond the number that may run: for the next
// statement of a transaction, whose work so far would be lost and whose
// connection nobody else can use.
func (g *Gate) Join(limit time.Duration) (leave func()) {
	g.mu.Lock()
	g.active++
	g.mu.Unlock()
	return g.turn(limit)
}

// turn returns what ends a turn that has begun. A server whose answers get lost
// is free again long before they are given up; without a limit, a few lost
// answers would keep all others waiting.
func (g *Gate) turn(limit time.Duration) (leave func()) {
	var once sync.Once
	end := func() { once.Do(g.leave) }
	timer := g.clock.AfterFunc(limit, end)
	return func() {
		timer.Stop()
		end()
	}
}

// evict lets the least urgent waiters give up while there are too many. The
// caller holds mu.
func (g *Gate) evict() {
	for g.waiters.Len() > g.room {
		last := g.waiters.Last()
		g.waiters.Remove(last)
		last.Value.turn <- ErrFull
	}
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	g.admit()
}

// SetLimits changes how many requests may pass at a time and how many may wait.
func (g *Gate) SetLimits(limit, room int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit, g.room = max(limit, 1), max(room, 1)
	g.admit()
	g.evict()
}

// admit gives free turns to waiters. The caller holds mu.
func (g *Gate) admit() {
	for g.active < g.limit {
		w, ok := g.waiters.Pop()
		if !ok {
			return
		}
		g.active++
		w.turn <- nil
	}
}

// Stats is how busy a gate is.
type Stats struct {
	// Limit, and how many requests are Active within it.
	Limit, Active int
	// Before is how many wait that would go before a new request.
	Before int
}

// Stats returns how busy the gate is for a request of the urgency.
func (g *Gate) Stats(u Urgency) Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{Limit: g.limit, Active: g.active, Before: g.waiters.CountBefore(&waiter{Urgency: u})}
}
