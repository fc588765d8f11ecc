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
	parts    Parts
	log      logrus.FieldLogger
	listener net.Listener

	slots chan struct{} // one per unauthenticated connection
	done  chan struct{}
	tasks sync.WaitGroup

	mu       sync.Mutex
	stopped  bool
	next     uint32
	sessions map[uint32]*entry
	callers  map[string]int // connections by caller
	pending  map[net.Conn]struct{}
}

// entry is one authenticated connection.
type entry struct {
	session *relayer.Session
	secret  []byte
}

// New returns a gatekeeper that accepts connections on the listener until
// [Gatekeeper.Stop].
func New(cfg Config, parts Parts, listener net.Listener) *Gatekeeper {
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
		cfg: cfg, parts: parts, log: parts.Log, listener: listener,
		slots: make(chan struct{}, cfg.MaxUnauthenticated), done: make(chan struct{}),
		sessions: make(map[uint32]*entry), callers: make(map[string]int), pending: make(map[net.Conn]struct{}),
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
	case g.slots <- struct{}{}:
	default:
		g.parts.Meter.Refused("", refusedUnauthenticated)
		_ = conn.Close()
		return
	}
	if !g.addPending(conn) {
		<-g.slots
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
	<-g.slots
	if e == nil {
		_ = l.conn.Close()
		return
	}
	g.parts.Meter.Opened(l.caller.Name, l.group)
	e.session.Run()
	g.parts.Meter.Closed(l.caller.Name, l.group)
	g.remove(id, l.caller.Name)
}

// add registers a session and returns its process id. It fails when the caller
// has too many connections.
func (g *Gatekeeper) add(caller string, limit int, e *entry) (uint32, bool) {
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
		g.next = (g.next + 1) & sessionMask
		id := InstanceTag(g.cfg.Instance)<<sessionBits | g.next
		if _, used := g.sessions[id]; !used && id != 0 {
			return id
		}
	}
}

func (g *Gatekeeper) remove(id uint32, caller string) {
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
	g.each((*relayer.Session).Drain)
	return g.wait(ctx)
}

// Expire also ends sessions that are idle inside a transaction, which then has
// not run. It returns the number of sessions left when ctx ends.
func (g *Gatekeeper) Expire(ctx context.Context) int {
	g.Stop()
	g.each((*relayer.Session).Expire)
	return g.wait(ctx)
}

func (g *Gatekeeper) each(do func(*relayer.Session)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.sessions {
		do(e.session)
	}
}

func (g *Gatekeeper) wait(ctx context.Context) int {
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
