package messenger

import (
	"net"
	"slices"
	"sync"
)

// unanswered are the connections of a server on which it has answered nothing, the oldest
// first. A peer that connects and makes no call cannot use up the server's descriptors.
type unanswered struct {
	mu    sync.Mutex
	conns []*unansweredConn
}

// add returns the connection as one of the unanswered ones. If there are more than max, the
// oldest is closed; 0 means no limit.
func (u *unanswered) add(conn net.Conn, max int) net.Conn {
	if max == 0 {
		return conn
	}
	c := &unansweredConn{Conn: conn, of: u}
	u.mu.Lock()
	var oldest *unansweredConn
	if len(u.conns) >= max {
		oldest = u.conns[0]
	}
	u.conns = append(u.conns, c)
	u.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return c
}

// closeOldest closes the oldest of the connections; false if there is none.
func (u *unanswered) closeOldest() bool {
	u.mu.Lock()
	if len(u.conns) == 0 {
		u.mu.Unlock()
		return false
	}
	oldest := u.conns[0]
	u.mu.Unlock()
	_ = oldest.Close()
	return true
}

// unansweredConn is a connection that leaves the unanswered ones with the first write or its
// end.
type unansweredConn struct {
	net.Conn
	of   *unanswered
	once sync.Once
}

func (c *unansweredConn) leave() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if i := slices.Index(c.of.conns, c); i >= 0 {
		c.of.conns = slices.Delete(c.of.conns, i, i+1)
	}
}

// Write implements [net.Conn].
func (c *unansweredConn) Write(p []byte) (int, error) {
	c.once.Do(c.leave)
	return c.Conn.Write(p)
}

// Close implements [net.Conn].
func (c *unansweredConn) Close() error {
	c.once.Do(c.leave)
	return c.Conn.Close()
}
