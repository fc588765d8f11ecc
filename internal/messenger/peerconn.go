package messenger

import (
	"context"
	"fmt"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// peerConn is the drpc.Conn that [Pool.Dial] returns. Each call and each
// stream takes a connection of its own from the pool.
type peerConn struct {
	pool    *Pool
	address string
}

// Close implements drpc.Conn. It does nothing, because the pool owns the
// connections.
func (c *peerConn) Close() error { return nil }

// Closed implements drpc.Conn.
func (c *peerConn) Closed() <-chan struct{} { return c.pool.done }

// NewStream implements drpc.Conn. The stream ends when ctx ends; its
// connection is closed then and not reused.
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

// peerStream cancels its context when it is closed.
type peerStream struct {
	drpc.Stream
	cancel context.CancelFunc
}

// Close implements drpc.Stream.
func (s *peerStream) Close() error {
	s.cancel()
	return nil
}

// Invoke implements drpc.Conn. An error that wraps [ErrNotConnected] means that
// nothing was sent.
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

// maxReusedBytes is the largest call with its answer after which a connection is used again,
// in bytes. Both ends keep the buffers into which a call has grown.
const maxReusedBytes = 256 << 10

// invoke returns the connection if it can be reused, otherwise nil. It never repeats a call,
// because the receiver may have run it.
func (c *peerConn) invoke(ctx context.Context, pr *addressPool, rpc string, enc drpc.Encoding, in, out drpc.Message) (*drpcconn.Conn, error) {
	conn, err := c.pool.getConn(ctx, pr, c.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	before := transferred(conn.Transport())
	if err := conn.Invoke(ctx, rpc, enc, in, out); err != nil {
		// Close may block on a write to a peer that has stopped reading.
		go func() { _ = conn.Close() }()
		return nil, err
	}
	if transferred(conn.Transport())-before > maxReusedBytes {
		go func() { _ = conn.Close() }()
		return nil, nil
	}
	return conn, nil
}
