package pooler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/messenger"
)

// Pool is the [Acquirer] of one instance. It keeps connections to all backend
// servers of the catalog until Close.
type Pool struct {
	cfg       Config
	connector connector
	stamper   messenger.Stamper
	done      chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	mu     sync.RWMutex
	groups map[string]*group
}

var _ Acquirer = (*Pool)(nil)

// New returns a pool that runs until Close.
func New(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	p := &Pool{
		cfg:       cfg,
		connector: connector{localIP: cfg.LocalIP, budget: cfg.Budget, tls: cfg.TLS, password: cfg.Password},
		stamper:   messenger.Stamper{Instance: cfg.Directory.Self().Instance, Recorder: cfg.Recorder},
		done:      make(chan struct{}),
		groups:    make(map[string]*group),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.applyCatalog()
	p.tasks.Go(p.maintain)
	go func() {
		<-p.ctx.Done()
		p.stopOpening()
		p.tasks.Wait()
		p.closeIdle()
		close(p.done)
	}()
	return p
}

// Done is closed when the pool is closed.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Close refuses the waiting requests and closes the idle connections.
// Connections in use are closed when they are released.
func (p *Pool) Close() error {
	p.cancel()
	<-p.done
	return nil
}

// Acquire implements [Acquirer]. It waits at most QueueDeadline.
func (p *Pool) Acquire(ctx context.Context, req Request) (Conn, error) {
	g := p.group(req.Group)
	if g == nil || p.ctx.Err() != nil {
		return nil, &RefusedError{Server: req.Server, Reason: ReasonUnknown}
	}
	w, c, err := g.request(req)
	if err != nil {
		return nil, err
	}
	if c == nil {
		c, err = p.wait(ctx, g, w)
	}
	if err != nil {
		return nil, err
	}
	return &handle{conn: c, pool: p}, nil
}

func (p *Pool) group(name string) *group {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.groups[name]
}

// request returns an idle connection or the waiter that will receive one.
func (g *group) request(req Request) (*waiter, *conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.backends[req.Server]
	if !ok {
		return nil, nil, &RefusedError{Server: req.Server, Reason: ReasonUnknown}
	}
	now := g.pool.cfg.Clock.Now()
	if refused := b.refusal(now); refused != nil {
		b.refusals++
		return nil, nil, refused
	}
	if g.queue.countFor(b) == 0 && b.admits(req.Class, now) {
		if c := b.takeIdle(now); c != nil {
			b.markInUse(c, req.Class)
			return nil, c, nil
		}
	}
	w := &waiter{class: req.Class, server: b, result: make(chan result, 1)}
	if err := g.enqueue(w); err != nil {
		return nil, nil, err
	}
	b.serveWaiters(now)
	if b.open >= b.allowance(now) {
		g.wakeGrantLoop()
	}
	return w, nil, nil
}

func (p *Pool) wait(ctx context.Context, g *group, w *waiter) (*conn, error) {
	timer := p.cfg.Clock.NewTimer(QueueDeadline)
	defer timer.Stop()
	var cause error
	select {
	case r := <-w.result:
		return r.conn, r.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-timer.Chan():
	case <-p.ctx.Done():
		cause = errors.New("the pool is closed")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse(w, &RefusedError{Server: w.server.name, Reason: ReasonDeadline, Err: cause})
	// The waiter may have received a connection before mu was locked.
	r := <-w.result
	return r.conn, r.err
}

// open opens one connection, which startOpen has already counted.
func (p *Pool) open(b *backend, jitter bool) {
	if jitter {
		select {
		case <-p.ctx.Done():
		case <-p.cfg.Clock.After(rand.N(openJitter)):
		}
	}
	c, err := p.connector.open(p.ctx, b.target)
	g := b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := p.cfg.Clock.Now()
	b.opening--
	if err != nil {
		b.open--
		b.openFailed(err, now)
		b.serveWaiters(now)
		return
	}
	b.opens++
	b.backoff, b.lastErr = 0, nil
	c.server = b
	p.addIdle(c, now)
}

// openFailed records a failure and delays the next open. Waiters keep waiting
// while the server has other connections that may be released to them.
func (b *backend) openFailed(err error, now time.Time) {
	b.openFailures++
	b.backoff = min(max(b.backoff*2, minOpenBackoff), maxOpenBackoff)
	b.retryAt = now.Add(b.backoff/2 + rand.N(b.backoff/2))
	if b.lastErr == nil {
		b.group.pool.cfg.Log.WithError(err).WithField("server", b.name).Warn("pooler: connection not opened")
	}
	b.lastErr = err
}

// addIdle adds a clean connection to the idle list, or closes it when there are
// more than the allowance. The caller holds the group's mutex.
func (p *Pool) addIdle(c *conn, now time.Time) {
	b := c.server
	if p.ctx.Err() != nil || b.refusal(now) != nil || b.open > b.allowance(now) {
		b.retire(c)
	} else {
		c.idleSince = now
		b.idle = append(b.idle, c)
	}
	b.serveWaiters(now)
}

// release ends the use of a clean connection.
func (p *Pool) release(c *conn) {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c.server.markUnused(c)
	_ = c.net.SetReadDeadline(time.Time{})
	p.addIdle(c, p.cfg.Clock.Now())
}

// discard ends the use of a connection and closes it.
func (p *Pool) discard(c *conn) {
	// The connection is closed before it is no longer counted, so that the
	// server is told to free its place before another connection is opened.
	_ = c.raw.Close()
	c.freeMemory()
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c.server.markUnused(c)
	c.server.open--
	c.server.serveWaiters(p.cfg.Clock.Now())
}

// trimAndRelease closes surplus prepared statements and releases the connection.
func (p *Pool) trimAndRelease(c *conn) {
	if err := c.trimStatements(); err != nil || !c.clean() {
		p.discard(c)
		return
	}
	p.release(c)
}

func (p *Pool) stopOpening() {
	for _, g := range p.allGroups() {
		g.mu.Lock()
		g.closed = true
		g.mu.Unlock()
	}
}

func (p *Pool) closeIdle() {
	var closing sync.WaitGroup
	defer closing.Wait()
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, g := range p.groups {
		g.mu.Lock()
		for _, b := range g.backends {
			b.open -= len(b.idle)
			for _, c := range b.idle {
				closing.Go(c.close)
			}
			b.idle = nil
			b.refuseAll(&RefusedError{Server: b.name, Reason: ReasonDeadline, Err: errors.New("the pool is closed")})
		}
		g.mu.Unlock()
	}
}
