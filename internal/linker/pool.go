package linker

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/exchanger"
)

var (
	// ErrNoConn means that no connection became free in time; nothing was sent.
	ErrNoConn = errors.New("no connection to the backend server became free")
	// ErrLeft means that the caller left while its request waited; nothing was sent.
	ErrLeft = errors.New("the caller left while its request waited for a connection")
	// ErrClosed means that the pool has been closed; nothing was sent.
	ErrClosed = errors.New("connections to the backend server are closed")
)

const (
	// dialTimeout is several times the 12 ms that a handshake takes on a busy
	// server, and below the shortest statement timeout of 800 ms.
	dialTimeout = 500 * time.Millisecond
	// refusalPause is how long no connection is opened after the server refused one
	// because of its limit. Servers count the connections of a dead instance for 3 s.
	refusalPause = 300 * time.Millisecond
	// checkAge is the idle time after which a connection of a user is checked before its
	// use. It may have been idle for seconds, in which the server can have restarted.
	checkAge = 20 * time.Millisecond
)

// Config holds what a [Pool] needs.
type Config struct {
	Dialer exchanger.Dialer
	// Target is the server. Its User is set for each connection.
	Target exchanger.Target
	// Limits are how many connections this instance may hold.
	Limits Limits
	Clock  clockwork.Clock
	// OnDial is called with the outcome of each attempt to connect; it must not block.
	OnDial func(Dial)
}

// Limits bound the connections of a pool.
type Limits struct {
	// Max is the number of connections that may be open.
	Max int
	// Preferred is the number from which on a connection for a user replaces an idle one
	// of another user. More are opened only while none is idle.
	Preferred int
}

// Dial is the outcome of an attempt to connect.
type Dial struct {
	User    string
	Started time.Time
	// Replaces is set if an idle connection of another user was closed for it.
	Replaces bool
	Err      error
}

// Pool holds the connections to one backend server.
type Pool struct {
	cfg Config

	mu sync.Mutex
	// idle are the idle connections in the order of their release.
	idle []*Conn
	// open counts the open connections and opening the handshakes, by user.
	open, opening counts
	// noGrowthUntil is until when no connection is opened in addition, and
	// noReplacementUntil until when none is opened in the place of another.
	noGrowthUntil, noReplacementUntil time.Time
	waiters                           waitList
	demand                            demand
	closed                            bool
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool { return &Pool{cfg: cfg} }

// Acquire returns a connection of the request's user, waiting for one until the deadline.
// Among idle connections it takes the one that needs the fewest changes for the caller's
// session values. Waiters with a lower priority number go first; one of another user may
// be passed over a few times before a released connection is replaced for it.
func (p *Pool) Acquire(req Request) (*Conn, error) {
	c, w, err := p.acquireNow(req)
	if w == nil {
		return c, err
	}
	timer := p.cfg.Clock.NewTimer(req.Deadline.Sub(p.cfg.Clock.Now()))
	defer timer.Stop()
	reason := ErrNoConn
	select {
	case r := <-w.result:
		return r.conn, r.err
	case <-timer.Chan():
	case <-req.Left:
		reason = ErrLeft
	}
	p.mu.Lock()
	waiting := p.waiters.remove(w)
	p.mu.Unlock()
	if waiting {
		return nil, reason
	}
	r := <-w.result
	return r.conn, r.err
}

// acquireNow returns an idle connection, or why there will be none, or else a waiter that
// gets the connection.
func (p *Pool) acquireNow(req Request) (*Conn, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if req.User != "" {
		p.demand.note(req.User, p.cfg.Clock.Now())
	}
	if c := p.takeIdle(req); c != nil {
		return c, nil, nil
	}
	if p.cfg.Limits.Max <= 0 && p.open.sum == 0 && p.opening.sum == 0 {
		return nil, nil, ErrNoConn
	}
	if err := p.recentRefusal(); err != nil {
		return nil, nil, err
	}
	w := &waiter{Request: req, result: make(chan result, 1)}
	p.waiters.add(w)
	p.startDials()
	return nil, w, nil
}

// recentRefusal returns an error while no connection is open and none may be
// opened, because the server has refused one.
func (p *Pool) recentRefusal() error {
	if p.open.sum == 0 && p.opening.sum == 0 && !p.mayGrow() {
		return &exchanger.RefusedError{Code: exchanger.TooManyConnections, Text: "refused a moment ago"}
	}
	return nil
}

func (p *Pool) mayGrow() bool { return !p.cfg.Clock.Now().Before(p.noGrowthUntil) }

// hasRoom reports whether a connection may be opened in addition. The caller holds mu.
func (p *Pool) hasRoom() bool { return p.open.sum+p.opening.sum < p.cfg.Limits.Max && p.mayGrow() }

func (p *Pool) mayReplace() bool { return !p.cfg.Clock.Now().Before(p.noReplacementUntil) }

// takeIdle returns the idle connection that suits the request best; nil if there is none
// of its user. Connections of users that the server has closed are dropped. The caller
// holds mu.
func (p *Pool) takeIdle(req Request) *Conn {
	for {
		i := p.bestIdle(req)
		if i < 0 {
			return nil
		}
		c := p.idle[i]
		if c.user != "" && p.cfg.Clock.Since(c.lastUsed) > checkAge && c.isClosed() {
			p.dropIdle(i)
			continue
		}
		c.lent = c.user != req.User
		p.idle = slices.Delete(p.idle, i, i+1)
		return c
	}
}

// bestIdle returns the index of the idle connection that suits the request best; -1 if
// there is none of its user. A statement of the instance itself takes a connection of its
// own, or else the one that is least worth keeping. The caller holds mu.
func (p *Pool) bestIdle(req Request) int {
	best, cost := -1, 0
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].user != req.User {
			continue
		}
		n := p.idle[i].missingValues(req.Values)
		if best < 0 || n < cost {
			best, cost = i, n
		}
	}
	if best < 0 && req.AnyUser {
		best = leastWorthKeeping(p.idleConns(), anyAge)
	}
	return best
}

// idleConns describes the idle connections. The caller holds mu.
func (p *Pool) idleConns() []idleConn {
	now := p.cfg.Clock.Now()
	out := make([]idleConn, len(p.idle))
	unused := counts{}
	for _, c := range p.idle {
		unused.add(c.user, 1)
	}
	others := make(map[string]bool, len(unused.of))
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		inUse := p.open.of[c.user] > unused.of[c.user]
		out[i] = idleConn{user: c.user, age: now.Sub(c.lastUsed), isExtra: inUse || others[c.user]}
		if c.user != "" {
			out[i].interval = p.demand.interval(c.user, now)
		}
		others[c.user] = true
	}
	return out
}

// startDials opens connections for waiters within the limits. The caller holds mu.
func (p *Pool) startDials() { p.startDialsFor(func(*waiter) bool { return true }) }

// startDialsFor is startDials for the waiters that match.
func (p *Pool) startDialsFor(matches func(*waiter) bool) {
	for !p.closed {
		blocked := slices.DeleteFunc(p.blocked(), func(i int) bool { return !matches(p.waiters[i]) })
		if len(blocked) == 0 {
			return
		}
		user := p.waiters[blocked[0]].User
		isPreferred := p.open.sum+p.opening.sum < p.cfg.Limits.Preferred
		switch {
		case isPreferred && p.hasRoom():
			p.startDial(user, nil)
		case len(p.idle) > 0 && p.mayReplace():
			p.startDial(user, p.remove(leastWorthKeeping(p.idleConns(), anyAge)))
		case p.hasRoom():
			p.startDial(user, nil)
		default:
			return
		}
	}
}

// blocked returns the indices of the waiters for which a connection should be opened: no
// handshake in flight serves them, and another one may be started. The caller holds mu.
func (p *Pool) blocked() []int {
	if len(p.waiters) == 0 || p.opening.sum >= maxOpeningInAll {
		return nil
	}
	return slices.DeleteFunc(p.waiters.withoutDial(p.opening.of), func(i int) bool {
		return p.opening.of[p.waiters[i].User] >= maxOpening
	})
}

// startDial opens a connection for the user. The replaced connection, if any, is closed
// first, so that the server does not count both. The caller holds mu.
func (p *Pool) startDial(user string, replaced *Conn) {
	p.opening.add(user, 1)
	go func() {
		if replaced != nil {
			replaced.conn.Close()
		}
		started := p.cfg.Clock.Now()
		conn, err := p.cfg.Dialer.Dial(p.cfg.Target.WithUser(user), started.Add(dialTimeout))
		d := Dial{User: user, Started: started, Replaces: replaced != nil, Err: err}
		p.cfg.OnDial(d)
		p.dialed(conn, d)
	}()
}

// dialed takes the outcome of an attempt to connect.
func (p *Pool) dialed(conn exchanger.Conn, d Dial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening.add(d.User, -1)
	if d.Err != nil {
		p.dialFailed(d)
		return
	}
	if p.closed {
		conn.Close()
		return
	}
	p.open.add(d.User, 1)
	c := newConn(conn, d.User)
	c.lastUsed = p.cfg.Clock.Now()
	if i := slices.IndexFunc(p.waiters, func(w *waiter) bool { return w.User == d.User }); i >= 0 {
		p.give(c, i)
	} else {
		p.handOver(c)
	}
	p.startDials()
}

// dialFailed fails the waiters that no open connection can serve. After a refusal because
// of the server's limit, connections of other users may still be replaced. The caller
// holds mu.
func (p *Pool) dialFailed(d Dial) {
	var refused *exchanger.RefusedError
	if !errors.As(d.Err, &refused) || refused.Code != exchanger.TooManyConnections {
		p.failWaiters(d.Err, func(w *waiter) bool { return w.User == d.User && !p.canServe(w) })
		// The place goes to another user. The same one's connection would likely fail again.
		p.startDialsFor(func(w *waiter) bool { return w.User != d.User })
		return
	}
	p.noGrowthUntil = p.cfg.Clock.Now().Add(refusalPause)
	if d.Replaces {
		p.noReplacementUntil = p.noGrowthUntil
	}
	if p.open.sum == 0 {
		p.failWaiters(d.Err, func(*waiter) bool { return true })
		return
	}
	p.startDials()
}

// canServe reports whether an open connection can serve the waiter. The caller holds mu.
func (p *Pool) canServe(w *waiter) bool {
	return p.open.of[w.User] > 0 || w.AnyUser && p.open.sum > 0
}

// give gives the connection to the waiter with the index. The caller holds mu.
func (p *Pool) give(c *Conn, i int) {
	w := p.waiters[i]
	p.waiters = slices.Delete(p.waiters, i, i+1)
	c.lent = c.user != w.User
	w.result <- result{conn: c}
}

// handOver gives the connection to a waiter or keeps it idle. Waiters of other users that
// no handshake and no other idle connection can serve may claim its place. The caller
// holds mu and starts dials afterwards.
func (p *Pool) handOver(c *Conn) {
	p.startDials()
	var blocked []int
	if p.mayReplace() {
		blocked = p.blocked()
	}
	if i := recipient(p.waiters, c.user, blocked); i >= 0 {
		p.give(c, i)
		return
	}
	p.idle = append(p.idle, c)
}

// Release returns a connection to the pool. One that is broken, or not reusable
// because a transaction is still open on it, is closed; so is one that remembers too much.
func (p *Pool) Release(c *Conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.broken || !reusable || c.state > maxState || p.closed || p.open.sum > p.cfg.Limits.Max {
		p.open.add(c.user, -1)
		go c.conn.Close()
		p.startDials()
		return
	}
	if !c.lent {
		c.lastUsed = p.cfg.Clock.Now()
	}
	p.handOver(c)
	p.startDials()
}

// SetLimits changes how many connections may be open. Idle ones above the limit are
// closed at once, others when they are released.
func (p *Pool) SetLimits(l Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Limits = l
	for p.open.sum > l.Max && len(p.idle) > 0 {
		p.dropIdle(0)
	}
	p.startDials()
}

// CloseIdle closes idle connections that were not used since the given time, those first
// that are least worth keeping, but leaves at least keep connections open, idle ones and
// others together.
func (p *Pool) CloseIdle(before time.Time, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.forget(p.cfg.Clock.Now())
	for p.open.sum > keep {
		i := leastWorthKeeping(p.idleConns(), p.cfg.Clock.Since(before))
		if i < 0 {
			return
		}
		p.dropIdle(i)
	}
}

// remove takes a connection out of the pool, which is no longer counted as open. The
// caller holds mu and closes it.
func (p *Pool) remove(i int) *Conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open.add(c.user, -1)
	return c
}

func (p *Pool) dropIdle(i int) { go p.remove(i).conn.Close() }

// Stats returns the numbers of open connections, idle ones and waiters.
func (p *Pool) Stats() (open, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open.sum, len(p.idle), len(p.waiters)
}

// Target returns the server to which the connections are opened.
func (p *Pool) Target() exchanger.Target { return p.cfg.Target }

// Limit returns how many connections may be open.
func (p *Pool) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.Limits.Max
}

// Close closes idle connections now and the others as they are released. Waiters
// fail with ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.dropIdle(0)
	}
	p.failWaiters(ErrClosed, func(*waiter) bool { return true })
}

// failWaiters fails the matching waiters with the error. The caller holds mu.
func (p *Pool) failWaiters(err error, matches func(*waiter) bool) {
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		if !matches(w) {
			return false
		}
		w.result <- result{err: err}
		return true
	})
}
