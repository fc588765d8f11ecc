package linker

import (
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/queuer"
)

var (
	// ErrNoConn means that no link became free in time; nothing was sent.
	ErrNoConn = errors.New("no connection to the backend server became free")
	// ErrClosed means that the pool has been closed; nothing was sent.
	ErrClosed = errors.New("connections to the backend server are closed")
)

const (
	// dialTimeout covers a handshake of 12 ms on a busy server several times
	// and stays below the shortest statement timeout of 800 ms.
	dialTimeout = 500 * time.Millisecond
	// refusalPause is how long no connection is opened after the server
	// refused one; a dead instance's connections count for 3 s.
	refusalPause = 300 * time.Millisecond
	// maxOpening limits handshakes at a time, each of which takes a slot.
	maxOpening = 2
)

// Config holds what a [Pool] needs.
type Config struct {
	Dialer exchanger.Dialer
	Target exchanger.Target
	// Limit is the number of connections that this instance may hold.
	Limit int
	Clock clockwork.Clock
	// OnDial is told the outcome and time of each attempt to connect; it must not block.
	OnDial func(err error, started time.Time)
}

// Pool holds the links to one backend server.
type Pool struct {
	cfg Config

	mu          sync.Mutex
	idle        []*Conn
	open        int
	opening     int
	noDialUntil time.Time
	waiters     *queuer.Queue[*waiter]
	closed      bool
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, waiters: queuer.New((*waiter).before)}
}

// Acquire returns a link for the caller's context, an idle one that needs the
// fewest changes first. Waiters with a lower priority number go first.
func (p *Pool) Acquire(priority int, deadline time.Time, values map[string]string) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if c := p.takeIdle(values); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if err := p.recentRefusal(); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	w := &waiter{priority: priority, result: make(chan result, 1)}
	e := p.waiters.Push(w)
	p.startDials()
	p.mu.Unlock()

	timer := p.cfg.Clock.NewTimer(deadline.Sub(p.cfg.Clock.Now()))
	defer timer.Stop()
	select {
	case r := <-w.result:
		return r.conn, r.err
	case <-timer.Chan():
	}
	p.mu.Lock()
	waiting := p.waiters.Remove(e)
	p.mu.Unlock()
	if waiting {
		return nil, ErrNoConn
	}
	r := <-w.result
	return r.conn, r.err
}

// recentRefusal returns the last refusal while no connection is open and none
// may be opened.
func (p *Pool) recentRefusal() error {
	if p.open == 0 && p.opening == 0 && p.cfg.Clock.Now().Before(p.noDialUntil) {
		return &exchanger.RefusedError{Code: exchanger.TooManyConnections, Text: "refused a moment ago"}
	}
	return nil
}

func (p *Pool) takeIdle(values map[string]string) *Conn {
	best, cost := -1, 0
	for i := len(p.idle) - 1; i >= 0; i-- {
		n := p.idle[i].missingValues(values)
		if best < 0 || n < cost {
			best, cost = i, n
		}
	}
	if best < 0 {
		return nil
	}
	c := p.idle[best]
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return c
}

// startDials opens connections for waiters within the limits.
func (p *Pool) startDials() {
	for p.opening < p.waiters.Len() && p.opening < maxOpening && p.open+p.opening < p.cfg.Limit &&
		!p.cfg.Clock.Now().Before(p.noDialUntil) && !p.closed {
		p.opening++
		go p.dial()
	}
}

func (p *Pool) dial() {
	started := p.cfg.Clock.Now()
	conn, err := p.cfg.Dialer.Dial(p.cfg.Target, started.Add(dialTimeout))
	p.cfg.OnDial(err, started)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.dialFailed(err)
		return
	}
	if p.closed {
		conn.Close()
		return
	}
	p.open++
	p.handOver(newConn(conn))
}

// dialFailed fails the waiters that no open connection will serve.
func (p *Pool) dialFailed(err error) {
	var refused *exchanger.RefusedError
	if errors.As(err, &refused) && refused.Code == exchanger.TooManyConnections {
		p.noDialUntil = p.cfg.Clock.Now().Add(refusalPause)
	}
	if p.open > 0 {
		return
	}
	p.failWaiters(err)
}

// handOver gives the link to the first waiter or keeps it idle.
func (p *Pool) handOver(c *Conn) {
	if w, ok := p.waiters.Pop(); ok {
		w.result <- result{conn: c}
		return
	}
	p.idle = append(p.idle, c)
}

// Release returns a link. A link that is broken or not at rest is closed.
func (p *Pool) Release(c *Conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.broken || !reusable || p.closed || p.open > p.cfg.Limit {
		p.open--
		go c.conn.Close()
		p.startDials()
		return
	}
	c.lastUsed = p.cfg.Clock.Now()
	p.handOver(c)
}

// SetLimit changes the share of connections; idle links above it are closed.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Limit = n
	for p.open > n && len(p.idle) > 0 {
		p.dropIdle(0)
	}
	p.startDials()
}

// CloseIdle closes links that were not used since the time, but the last keep
// ones.
func (p *Pool) CloseIdle(before time.Time, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0 && p.open > keep; i-- {
		if p.idle[i].lastUsed.Before(before) {
			p.dropIdle(i)
		}
	}
}

func (p *Pool) dropIdle(i int) {
	go p.idle[i].conn.Close()
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	p.open--
}

// Stats returns the open and idle links and the waiters.
func (p *Pool) Stats() (open, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle), p.waiters.Len()
}

// Target returns the server that the links lead to.
func (p *Pool) Target() exchanger.Target { return p.cfg.Target }

// Limit returns how many links may be open.
func (p *Pool) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cfg.Limit
}

// Close closes idle links now and others as they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.dropIdle(0)
	}
	p.failWaiters(ErrClosed)
}

// failWaiters answers all waiters with the error. The caller holds mu.
func (p *Pool) failWaiters(err error) {
	for w, ok := p.waiters.Pop(); ok; w, ok = p.waiters.Pop() {
		w.result <- result{err: err}
	}
}
