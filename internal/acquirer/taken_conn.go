package acquirer

import (
	"slices"

	"marigoldhub.example/hub/internal/pooler"
)

// takenConn is a server connection that the session holds. The session knows each of them
// until it is given back, so that a panic does not keep it from others for ever.
type takenConn struct {
	pooler.Conn
	a *Acquirer
}

// Release implements [pooler.Conn].
func (c *takenConn) Release() {
	c.a.forget(c)
	c.Conn.Release()
}

// Discard implements [pooler.Conn].
func (c *takenConn) Discard() {
	c.a.forget(c)
	c.Conn.Discard()
}

// take records a connection that the session has acquired.
func (a *Acquirer) take(conn pooler.Conn) pooler.Conn {
	c := &takenConn{conn, a}
	a.taken = append(a.taken, c)
	return c
}

func (a *Acquirer) forget(c *takenConn) {
	a.taken = slices.DeleteFunc(a.taken, func(t *takenConn) bool { return t == c })
}
