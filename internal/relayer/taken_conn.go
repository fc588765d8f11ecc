package relayer

import (
	"slices"

	"marigoldhub.example/hub/internal/pooler"
)

// takenConn is a server connection that the session holds. The session knows each of them
// until it is given back, so that a panic does not keep it from others for ever.
type takenConn struct {
	pooler.Conn
	s *Session
}

// Release implements [pooler.Conn].
func (c *takenConn) Release() {
	c.s.forgetTaken(c)
	c.Conn.Release()
}

// Discard implements [pooler.Conn].
func (c *takenConn) Discard() {
	c.s.forgetTaken(c)
	c.Conn.Discard()
}

// take records a connection that the session has acquired.
func (s *Session) take(conn pooler.Conn) pooler.Conn {
	c := &takenConn{conn, s}
	s.taken = append(s.taken, c)
	return c
}

func (s *Session) forgetTaken(c *takenConn) {
	s.taken = slices.DeleteFunc(s.taken, func(t *takenConn) bool { return t == c })
}

// discardTaken closes the connections that are still held at the end of the session. There are
// none unless it ends by a panic.
func (s *Session) discardTaken() {
	for len(s.taken) > 0 {
		s.taken[0].Discard()
	}
}
