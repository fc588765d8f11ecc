package budgeter

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Listener limits the open connections of a port whose peers connect for short calls: when
// one more is accepted, the one that has been open for longest is closed. So a crowd that
// keeps its connections does not keep others out. A connection is closed only after minOpen;
// until then the next one waits in the kernel's queue.
type Listener struct {
	net.Listener
	max      int
	clock    clockwork.Clock
	refusals *Refusals

	mu sync.Mutex
	// open has the open connections, the oldest first.
	open []*listenerConn
}

// minOpen is how long a connection may take for its call before it is closed in favor of
// another one. A call takes some milliseconds on a busy machine; 32 connections of this age
// let 1,600 others pass in a second.
const minOpen = 20 * time.Millisecond

// NewListener returns a listener that keeps at most max connections open.
func NewListener(l net.Listener, max int, clock clockwork.Clock, refusals *Refusals) *Listener {
	return &Listener{Listener: l, max: max, clock: clock, refusals: refusals}
}

// awaitRoom waits until a connection has ended or may be closed.
func (l *Listener) awaitRoom() {
	for {
		l.mu.Lock()
		rest := time.Duration(0)
		if len(l.open) >= l.max {
			rest = minOpen - l.clock.Since(l.open[0].accepted)
		}
		l.mu.Unlock()
		if rest <= 0 {
			return
		}
		l.clock.Sleep(rest)
	}
}

// Accept implements [net.Listener].
func (l *Listener) Accept() (net.Conn, error) {
	l.awaitRoom()
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &listenerConn{Conn: conn, listener: l, accepted: l.clock.Now()}
	l.mu.Lock()
	var oldest *listenerConn
	if len(l.open) >= l.max {
		oldest = l.open[0]
	}
	l.open = append(l.open, c)
	l.mu.Unlock()
	if oldest != nil {
		l.refusals.Add(ConnectionDisplaced)
		oldest.Close()
	}
	return c, nil
}

func (l *Listener) remove(c *listenerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.open, c); i >= 0 {
		l.open = slices.Delete(l.open, i, i+1)
	}
}

// listenerConn is removed from its listener when it is closed.
type listenerConn struct {
	net.Conn
	listener *Listener
	accepted time.Time
}

// Close implements [net.Conn].
func (c *listenerConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
