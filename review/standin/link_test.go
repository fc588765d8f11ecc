//go:build review

package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// platformLink is the path of one instance to the platform. While it is cut, bytes wait. When the
// cut ends they arrive, also if their sender has closed the connection meanwhile; they are
// lost if it has reset the connection, or if the connection was not yet open when the cut
// began.
type platformLink struct {
	target string

	mu  sync.Mutex
	cut bool
}

// newLink returns a link to the target and the address of its other end.
func newLink(target string) (*platformLink, string, error) {
	l, err := listen()
	if err != nil {
		return nil, "", err
	}
	k := &platformLink{target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.relay(conn.(*net.TCPConn))
		}
	}()
	return k, l.Addr().String(), nil
}

func (k *platformLink) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
}

func (k *platformLink) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut
}

// awaitPath waits until the link is not cut.
func (k *platformLink) awaitPath() {
	for k.isCut() {
		time.Sleep(2 * time.Millisecond)
	}
}

func (k *platformLink) relay(from *net.TCPConn) {
	defer from.Close()
	if k.isCut() {
		// The opening packet is lost; it is sent again while the caller still waits.
		k.awaitPath()
		if closedByPeer(from) {
			return
		}
	}
	conn, err := net.Dial("tcp4", k.target)
	if err != nil {
		return
	}
	to := conn.(*net.TCPConn)
	defer to.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.copy(from, to)
	}()
	k.copy(to, from)
	<-done
}

// copy carries bytes in one direction until the sender ends it.
func (k *platformLink) copy(to, from *net.TCPConn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			k.awaitPath()
			if isReset(from) {
				to.SetLinger(0)
				to.Close()
				return
			}
			if _, err := to.Write(b[:n]); err != nil {
				from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			k.awaitPath()
			to.CloseWrite()
			return
		case err != nil:
			to.SetLinger(0)
			to.Close()
			return
		}
	}
}

// state returns the state of the connection in the kernel.
func state(c *net.TCPConn) (closeWait, closed bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, true
	}
	raw.Control(func(fd uintptr) {
		info, err := tcpState(int(fd))
		closed = err != nil || info == tcpClose
		closeWait = info == tcpCloseWait
	})
	return closeWait, closed
}

// isReset reports whether the peer has reset the connection.
func isReset(c *net.TCPConn) bool {
	_, closed := state(c)
	return closed
}

// closedByPeer reports whether the peer has closed or reset the connection.
func closedByPeer(c *net.TCPConn) bool {
	closeWait, closed := state(c)
	return closeWait || closed
}
