package limiter

import (
	"net"
	"slices"
	"sync/atomic"
	"time"

	"marigoldhub.example/hub/internal/budgeter"
)

const (
	// maxAcceptWait is how long an accepted connection waits for a socket before it is
	// closed. Connections that are being closed give theirs back within milliseconds.
	maxAcceptWait = 500 * time.Millisecond
	// minAcceptWait is how long it waits before another connection is closed for it. Those
	// that are being refused are closed by then.
	minAcceptWait = 10 * time.Millisecond
	// acceptInterval is the pause between two attempts to get a socket.
	acceptInterval = 2 * time.Millisecond
	// listenerSockets are the listening socket and a connection that has been accepted
	// and waits.
	listenerSockets = 2
)

// Listener accepts TCP connections while the use has sockets for them.
type Listener struct {
	net.Listener
	use *Use
	// onFull closes a connection that may be closed; nil if OnFull was not called.
	onFull atomic.Pointer[func() bool]
	// hasPlace reports whether connections from the address have places of their own at the
	// port; nil if HavePlaces was not called.
	hasPlace atomic.Pointer[func(net.Addr) bool]
	closed   atomic.Bool
}

// Listen returns a listener whose connections take sockets of the use.
func (u *Use) Listen(l net.Listener) *Listener {
	listener := &Listener{Listener: l, use: u}
	s := u.sockets
	s.mu.Lock()
	defer s.mu.Unlock()
	u.reserve += listenerSockets
	if u.limit > 0 {
		u.limit += listenerSockets
	}
	u.add(listenerSockets)
	// Others may be reading the old slice.
	if u.closedFirst {
		s.listeners = slices.Concat([]*Listener{listener}, s.listeners)
	} else {
		s.listeners = slices.Concat(s.listeners, []*Listener{listener})
	}
	return listener
}

// OnFull sets the function that is called when no socket is left. It closes a connection of
// the port that may be closed, and reports whether it did.
func (l *Listener) OnFull(closeOne func() bool) { l.onFull.Store(&closeOne) }

// HavePlaces sets the function that reports whether connections from the address have places of
// their own at the port. While no socket is left, one without a place takes the socket of another
// of the port, or else of another port, and is closed at once if there is none to close, so that
// connections with places do not wait behind it.
func (l *Listener) HavePlaces(hasPlace func(net.Addr) bool) { l.hasPlace.Store(&hasPlace) }

// mayWait reports whether a connection from the address may wait for a socket.
func (l *Listener) mayWait(a net.Addr) bool {
	hasPlace := l.hasPlace.Load()
	return hasPlace == nil || (*hasPlace)(a)
}

// closeOne closes a connection of the port that may be closed; false if there is none.
func (l *Listener) closeOne() bool {
	onFull := l.onFull.Load()
	return onFull != nil && (*onFull)()
}

// makeRoom closes a connection in favor of one that waits; false if there is none. It is one
// of this port if the connections of the use are the first to be closed, and if the use has
// reached its own limit, because another use's socket does not help then.
func (l *Listener) makeRoom() bool {
	if l.use.closedFirst || l.use.isAtLimit() {
		return l.closeOne()
	}
	return l.use.sockets.makeRoom()
}

// Accept implements [net.Listener].
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		if l.await(conn.RemoteAddr()) {
			return &Conn{TCPConn: tcp, use: l.use}, nil
		}
		l.use.sockets.cfg.Refusals.Add(budgeter.NoSocket)
		conn.Close()
	}
}

// await waits until the use has a socket for a connection from the address, and takes it.
func (l *Listener) await(a net.Addr) bool {
	if l.use.take() {
		return true
	}
	if !l.mayWait(a) {
		return (l.closeOne() || l.makeRoom()) && l.use.take()
	}
	clock := l.use.sockets.cfg.Clock
	began := clock.Now()
	for !l.use.take() {
		waited := clock.Since(began)
		switch {
		case waited >= maxAcceptWait || l.closed.Load():
			return false
		case waited >= minAcceptWait && l.makeRoom():
			continue
		}
		clock.Sleep(acceptInterval)
	}
	return true
}

// Close implements [net.Listener].
func (l *Listener) Close() error {
	err := l.Listener.Close()
	if !l.closed.Swap(true) {
		l.use.give(listenerSockets)
	}
	return err
}
