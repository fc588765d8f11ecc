package gatekeeper

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/guarder"
	"marigoldhub.example/hub/internal/relayer"
)

// Gatekeeper accepts connections of callers on one listener. It is safe for
// concurrent use.
type Gatekeeper struct {
	cfg      Config
	deps     Dependencies
	log      logrus.FieldLogger
	listener net.Listener

	done  chan struct{}
	tasks sync.WaitGroup

	mu      sync.Mutex
	stopped bool
	// lastSession is the session number that was assigned last.
	lastSession uint32
	sessions    map[uint32]*authenticatedConn // by process id
	callers     map[string]int                // connections by caller
	// pending are the connections that have not authenticated yet, with the times at
	// which they were accepted.
	pending map[net.Conn]time.Time
}

// authenticatedConn is one authenticated connection.
type authenticatedConn struct {
	session *relayer.Session
	// secret is the cancel secret of the session.
	secret []byte
	// group is the database group that the session uses.
	group   string
	teamKey teamKey
	// displaced is set when the session ends in favor of a new connection.
	displaced bool
}

// New returns a gatekeeper that accepts connections on the listener until
// [Gatekeeper.Stop].
func New(cfg Config, deps Dependencies, listener net.Listener) *Gatekeeper {
	if deps.Log == nil {
		deps.Log = logrus.StandardLogger()
	}
	if deps.Meter == nil {
		deps.Meter = noMeter{}
	}
	cfg = cfg.withDefaults()
	if len(cfg.MockKey) == 0 {
		cfg.MockKey = randomBytes(32)
	}
	g := &Gatekeeper{
		cfg: cfg, deps: deps, log: deps.Log, listener: listener,
		done: make(chan struct{}), sessions: make(map[uint32]*authenticatedConn), callers: make(map[string]int), pending: make(map[net.Conn]time.Time),
	}
	go func() {
		defer close(g.done)
		g.acceptLoop()
	}()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-g.done
		g.tasks.Wait()
	}()
	go g.reviewTeams(ended)
	return g
}

// Done is closed when the gatekeeper has stopped accepting connections.
func (g *Gatekeeper) Done() <-chan struct{} { return g.done }

// maxAcceptDelay is the longest pause after a failed accept, which occurs when
// the process has no free file descriptor.
const maxAcceptDelay = time.Second

func (g *Gatekeeper) acceptLoop() {
	delay := time.Millisecond
	for {
		conn, err := g.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			g.log.WithError(err).Warn("gatekeeper: accept failed")
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		delay = time.Millisecond
		g.admit(conn)
	}
}

// refusedUnauthenticated is the state passed to [Meter.Refused] for connections
// that are closed because too many have not authenticated.
const refusedUnauthenticated = "unauthenticated_limit"

// minAuthTime is how long a connection may take to authenticate before it is closed in
// favor of a new one, when too many have not authenticated.
const minAuthTime = time.Second

// admit serves the connection unless too many have not authenticated.
func (g *Gatekeeper) admit(conn net.Conn) {
	displaced, ok := g.addPending(conn, time.Now())
	if displaced != nil {
		g.deps.Meter.Refused("", refusedUnauthenticated)
		_ = displaced.Close()
	}
	if !ok {
		_ = conn.Close()
		return
	}
	go func() {
		defer g.tasks.Done()
		g.serve(conn)
	}()
}

// addPending registers a connection that has not authenticated. If there are too many, it
// takes the place of the oldest one, which is returned to be closed, so that a crowd that
// does not authenticate does not keep callers out. It returns false if there is no place, and
// after Stop.
func (g *Gatekeeper) addPending(conn net.Conn, now time.Time) (displaced net.Conn, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil, false
	}
	// Too many unauthenticated connections are refused first, so that they end no session.
	if len(g.pending) >= g.cfg.MaxUnauthenticated {
		if displaced = g.oldestPending(now); displaced == nil {
			g.deps.Meter.Refused("", refusedUnauthenticated)
			return nil, false
		}
		delete(g.pending, displaced)
	} else if len(g.pending)+len(g.sessions) >= g.cfg.MaxConnections && !g.displaceIdle(now) {
		g.refuse(budgeter.TooManySessions)
		return nil, false
	}
	g.pending[conn] = now
	g.tasks.Add(1)
	return displaced, true
}

// oldestPending returns the connection that has been unauthenticated for longest, if that is
// at least minAuthTime; nil if there is none. The caller holds mu.
func (g *Gatekeeper) oldestPending(now time.Time) net.Conn {
	var conn net.Conn
	oldest := now.Add(-minAuthTime)
	for c, accepted := range g.pending {
		if !accepted.After(oldest) {
			conn, oldest = c, accepted
		}
	}
	return conn
}

// serve handles one connection from startup until it is closed.
func (g *Gatekeeper) serve(conn net.Conn) {
	defer guarder.Recover(g.log, "connection of a caller")
	l := &login{g: g, conn: conn, raw: conn}
	defer func() {
		if l.id != 0 {
			g.unregister(l.id, l.caller.Name)
		}
	}()
	c := g.logIn(l)
	if c == nil {
		return
	}
	g.deps.Meter.Opened(l.caller.Name, l.group)
	defer g.deps.Meter.Closed(l.caller.Name, l.group)
	c.session.Run()
}

// logIn returns the session of an authenticated caller. Otherwise, and after a panic, it closes
// the connection and returns nil.
func (g *Gatekeeper) logIn(l *login) (c *authenticatedConn) {
	defer func() {
		g.mu.Lock()
		delete(g.pending, l.raw)
		g.mu.Unlock()
		if c == nil {
			_ = l.conn.Close()
			l.in.Close()
		}
	}()
	return l.run()
}

// register adds a session and returns its process id. It returns false when the
// caller has too many connections.
func (g *Gatekeeper) register(caller string, limit int, c *authenticatedConn) (uint32, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.callers[caller] >= limit {
		return 0, false
	}
	id := g.freeID()
	g.callers[caller]++
	g.sessions[id] = c
	if g.stopped {
		c.session.Drain()
	}
	return id, true
}

// freeID returns an unused process id of this instance. The caller holds mu.
func (g *Gatekeeper) freeID() uint32 {
	for {
		g.lastSession = (g.lastSession + 1) & sessionMask
		id := InstanceTag(g.cfg.Instance)<<sessionBits | g.lastSession
		if _, used := g.sessions[id]; !used && id != 0 {
			return id
		}
	}
}

func (g *Gatekeeper) unregister(id uint32, caller string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sessions, id)
	g.callers[caller]--
	if g.callers[caller] == 0 {
		delete(g.callers, caller)
	}
}

// Sessions returns the number of authenticated connections.
func (g *Gatekeeper) Sessions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}

// Stop closes the listener and the connections that have not authenticated.
func (g *Gatekeeper) Stop() {
	g.mu.Lock()
	g.stopped = true
	for conn := range g.pending {
		_ = conn.Close()
	}
	g.mu.Unlock()
	_ = g.listener.Close()
	<-g.done
}

// Drain stops accepting connections and ends each session with SQLSTATE 57P01 as
// soon as it is idle outside a transaction. It returns when all sessions have
// ended or ctx ends, with the number of remaining sessions.
func (g *Gatekeeper) Drain(ctx context.Context) int {
	g.Stop()
	g.forEachSession((*relayer.Session).Drain)
	return g.waitForSessions(ctx)
}

// Expire is like Drain but also ends sessions that are idle inside a
// transaction, which then has no effect. It returns the number of remaining
// sessions.
func (g *Gatekeeper) Expire(ctx context.Context) int {
	g.Stop()
	g.forEachSession((*relayer.Session).Expire)
	return g.waitForSessions(ctx)
}

func (g *Gatekeeper) forEachSession(do func(*relayer.Session)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.sessions {
		do(c.session)
	}
}

// waitForSessions waits until all connections have ended or ctx ends, and
// returns the number of remaining sessions.
func (g *Gatekeeper) waitForSessions(ctx context.Context) int {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.tasks.Wait()
	}()
	select {
	case <-ended:
		return 0
	case <-ctx.Done():
		return g.Sessions()
	}
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails since Go 1.24
	return b
}
