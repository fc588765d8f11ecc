package gatekeeper

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/relayer"
)

// Gatekeeper accepts caller connections on one listener.
type Gatekeeper struct {
	cfg      Config
	deps    Dependencies
	log      logrus.FieldLogger
	listener net.Listener

	unauthenticatedSlots chan struct{} // one per unauthenticated connection
	done  chan struct{}
	tasks sync.WaitGroup

	mu       sync.Mutex
	stopped  bool
	lastSession     uint32
	sessions map[uint32]*authenticatedConn
	callers  map[string]int // connections by caller
	pending  map[net.Conn]struct{}
}

// authenticatedConn is one authenticated connection.
type authenticatedConn struct {
	session *relayer.Session
	secret  []byte
}

// New returns a gatekeeper that accepts connections on the listener until
// [Gatekeeper.Stop].
func New(cfg Config, parts Dependencies, listener net.Listener) *Gatekeeper {
	if parts.Log == nil {
		parts.Log = logrus.StandardLogger()
	}
	if parts.Meter == nil {
		parts.Meter = noMeter{}
	}
	cfg = cfg.withDefaults()
	if len(cfg.MockKey) == 0 {
		cfg.MockKey = randomBytes(32)
	}
	g := &Gatekeeper{
		cfg: cfg, deps: parts, log: parts.Log, listener: listener,
		unauthenticatedSlots: make(chan struct{}, cfg.MaxUnauthenticated), done: make(chan struct{}),
		sessions: make(map[uint32]*authenticatedConn), callers: make(map[string]int), pending: make(map[net.Conn]struct{}),
	}
	go func() {
		defer close(g.done)
		g.acceptLoop()
	}()
	return g
}

// Done is closed when no more connections are accepted.
func (g *Gatekeeper) Done() <-chan struct{} { return g.done }

// maxAcceptDelay bounds the pause after a failed accept, which occurs when the
// process is out of file descriptors.
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

// refusedUnauthenticated counts connections that were closed because too many
// were unauthenticated.
const refusedUnauthenticated = "unauthenticated_limit"

// admit serves the connection unless too many are unauthenticated.
func (g *Gatekeeper) admit(conn net.Conn) {
	select {
	case g.unauthenticatedSlots <- struct{}{}:
	default:
		g.deps.Meter.Refused("", refusedUnauthenticated)
		_ = conn.Close()
		return
	}
	if !g.addPending(conn) {
		<-g.unauthenticatedSlots
		_ = conn.Close()
		return
	}
	go func() {
		defer g.tasks.Done()
		g.serve(conn)
	}()
}

func (g *Gatekeeper) addPending(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return false
	}
	g.pending[conn] = struct{}{}
	g.tasks.Add(1)
	return true
}

// serve handles one connection from startup to end.
func (g *Gatekeeper) serve(conn net.Conn) {
	l := &login{g: g, conn: conn, raw: conn}
	id, e := l.run()
	g.mu.Lock()
	delete(g.pending, conn)
	g.mu.Unlock()
	<-g.unauthenticatedSlots
	if e == nil {
		_ = l.conn.Close()
		return
	}
	g.deps.Meter.Opened(l.caller.Name, l.group)
	e.session.Run()
	g.deps.Meter.Closed(l.caller.Name, l.group)
	g.unregister(id, l.caller.Name)
}

// register registers a session and returns its process id. It fails when the caller
// has too many connections.
func (g *Gatekeeper) register(caller string, limit int, e *authenticatedConn) (uint32, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.callers[caller] >= limit {
		return 0, false
	}
	id := g.freeID()
	g.callers[caller]++
	g.sessions[id] = e
	if g.stopped {
		e.session.Drain()
	}
	return id, true
}

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

// Stop accepts no more connections and ends those that are not authenticated.
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

// Drain stops accepting and ends each session with 57P01 once it is idle
// outside a transaction. It returns the number of sessions left when ctx ends.
func (g *Gatekeeper) Drain(ctx context.Context) int {
	g.Stop()
	g.forEachSession((*relayer.Session).Drain)
	return g.waitForSessions(ctx)
}

// Expire also ends sessions that are idle inside a transaction, which then has
// not run. It returns the number of sessions left when ctx ends.
func (g *Gatekeeper) Expire(ctx context.Context) int {
	g.Stop()
	g.forEachSession((*relayer.Session).Expire)
	return g.waitForSessions(ctx)
}

func (g *Gatekeeper) forEachSession(do func(*relayer.Session)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.sessions {
		do(e.session)
	}
}

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
