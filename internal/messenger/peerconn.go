package messenger

import (
	"context"
	"fmt"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// peerConn is what [Pool.Dial] returns: every call uses a connection of its
// own.
type peerConn struct {
	pool    *Pool
	address string
}

// Close does nothing: the pool owns the connections.
func (c *peerConn) Close() error { return nil }

// Closed implements drpc.Conn.
func (c *peerConn) Closed() <-chan struct{} { return c.pool.done }

// NewStream implements drpc.Conn. The stream ends with its context; its
// connection is not used again.
func (c *peerConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.pool.ctx, cancel)
	stream, err := c.openStream(ctx, rpc, enc)
	if err != nil {
		stop()
		cancel()
		return nil, err
	}
	return &peerStream{Stream: stream, cancel: func() {
		stop()
		cancel()
	}}, nil
}

func (c *peerConn) openStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	pr, err := c.pool.acquireSlot(ctx, c.address)
	if err != nil {
		return nil, err
	}
	conn, err := c.pool.getConn(ctx, pr, c.address)
	if err != nil {
		c.pool.release(pr, nil)
		return nil, err
	}
	context.AfterFunc(ctx, func() {
		_ = conn.Close()
		c.pool.release(pr, nil)
	})
	return conn.NewStream(ctx, rpc, enc)
}

// peerStream ends its context when it is closed.
type peerStream struct {
	drpc.Stream
	cancel context.CancelFunc
}

// Close implements drpc.Stream.
func (s *peerStream) Close() error {
	s.cancel()
	return nil
}

// Invoke implements drpc.Conn.
func (c *peerConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.pool.ctx, cancel)()
	pr, err := c.pool.acquireSlot(ctx, c.address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	conn, err := c.invoke(ctx, pr, rpc, enc, in, out)
	c.pool.release(pr, conn)
	return err
}

// invoke returns the connection when it can be used again. A call is never
// repeated here: the receiver may have run it.
func (c *peerConn) invoke(ctx context.Context, pr *addressPool, rpc string, enc drpc.Encoding, in, out drpc.Message) (*drpcconn.Conn, error) {
	conn, err := c.pool.getConn(ctx, pr, c.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	if err := conn.Invoke(ctx, rpc, enc, in, out); err != nil {
		// Closing may wait for a write to a frozen peer.
		go func() { _ = conn.Close() }()
		return nil, err
	}
	return conn, nil
}
