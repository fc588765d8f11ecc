package limiter

import (
	"errors"
	"net"

	"marigoldhub.example/hub/internal/budgeter"
)

// Conn is a TCP connection whose socket is counted until its descriptor is closed.
type Conn struct {
	*net.TCPConn
	use *Use
}

// Close implements [net.Conn]. The first call returns when the descriptor is closed, further
// ones at once with [net.ErrClosed].
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	if !errors.Is(err, net.ErrClosed) {
		c.use.give(1)
	}
	return err
}

// Dial opens a connection with the function and counts its socket. If none is left, a port
// closes a connection that may be closed; otherwise it fails with [ErrNoSocket]. Only TCP
// connections are counted.
func (u *Use) Dial(dial func() (net.Conn, error)) (net.Conn, error) {
	if u == nil {
		return dial()
	}
	if !u.take() && !(u.sockets.makeRoom() && u.take()) {
		u.sockets.cfg.Refusals.Add(budgeter.NoSocket)
		return nil, ErrNoSocket
	}
	conn, err := dial()
	tcp, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		u.give(1)
		return conn, err
	}
	return &Conn{TCPConn: tcp, use: u}, nil
}
