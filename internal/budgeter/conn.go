package budgeter

import (
	"net"
	"sync"
	"time"
)

const (
	// freeBytes of a call are received without the budget.
	freeBytes = 64 << 10
	// callCopies is how often a call is in memory while it is received and decoded: the
	// buffer that grows, its predecessor, and the decoded texts.
	callCopies = 4
	// callTime is how long a call beyond freeBytes may take to arrive and to be answered.
	callTime = 30 * time.Second
)

// Conn is a connection on which calls and answers alternate. A call beyond some size is read
// on only when the budget has memory for twice of it. It is not evicted, because its call
// may be running, but its time is limited.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// account is closed with the connection; received is what has arrived of the call.
	account  *Account
	received int64
	// room is how much may arrive before more is reserved.
	room int64
	// reserving is set while Read waits for memory. Read alone uses the account then.
	reserving bool
	closed    bool
}

// NewConn returns the connection with an account of its own.
func (b *Budget) NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, room: freeBytes, account: b.NewAccount(nil)}
}

// Read implements [net.Conn]. It reads no further than what is reserved. At that point it
// waits for one more byte before it reserves more: a call that has arrived as a whole needs
// nothing, and the connection must not end for lack of memory while its answer is awaited.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), c.readable())])
	c.mu.Lock()
	c.received += int64(n)
	c.mu.Unlock()
	if err != nil {
		return n, err
	}
	if err := c.reserve(); err != nil {
		return 0, err
	}
	return n, nil
}

// readable returns how much may be read before memory is reserved for the rest.
func (c *Conn) readable() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(max(c.room-c.received, 1))
}

// reserve reserves memory if the call has become large.
func (c *Conn) reserve() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.received <= c.room {
		return nil
	}
	// An answer that is ready is not held up by the wait.
	c.reserving = true
	bytes := 2 * c.room * callCopies
	c.mu.Unlock()
	err := c.account.Reserve(bytes)
	c.mu.Lock()
	c.reserving = false
	switch {
	case c.closed:
		c.account.Close()
		return net.ErrClosed
	case err != nil:
		return err
	case c.received == 0:
		// The answer to the call was written meanwhile.
		c.release()
		return nil
	}
	c.account.SetRunning(true)
	if c.room == freeBytes {
		if err := c.Conn.SetReadDeadline(time.Now().Add(callTime)); err != nil {
			return err
		}
	}
	c.room *= 2
	return nil
}

// Write implements [net.Conn]. It ends the call.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.received = 0
	if c.room > freeBytes && !c.closed && !c.reserving {
		c.release()
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// release returns the call's memory. The caller holds mu.
func (c *Conn) release() {
	c.room = freeBytes
	c.account.SetRunning(false)
	c.account.Reserve(0)
	c.Conn.SetReadDeadline(time.Time{})
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		if !c.reserving {
			c.account.Close()
		}
	}
	return err
}
