package pooler

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrReleased is returned by Cancel when the connection was given back.
var ErrReleased = errors.New("the connection was released")

// lease is the exclusive use of a connection. A cancel request through an
// ended lease cannot reach the statement of the next holder.
type lease struct {
	*conn
	pool *Pool

	ended atomic.Bool
	// mu is held while a cancel request is under way.
	mu sync.Mutex
	// stray is set when a cancel request may still reach the server.
	stray bool
}

var _ Conn = (*lease)(nil)

// Cancel implements [Conn].
func (l *lease) Cancel(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended.Load() {
		return ErrReleased
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	sent, err := l.pool.connector.cancel(ctx, l.server.target, l.processID, l.secretKey)
	if err != nil && sent {
		l.stray = true
	}
	return err
}

// Release implements [Conn].
func (l *lease) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended.Swap(true) {
		return
	}
	if l.stray || !l.atRest() {
		l.pool.drop(l.conn)
		return
	}
	if l.statements.len() > maxStatements {
		go l.pool.trim(l.conn)
		return
	}
	l.pool.giveBack(l.conn)
}

// Discard implements [Conn]. It does not wait for a cancel request: the
// connection serves nobody else.
func (l *lease) Discard() {
	if l.ended.Swap(true) {
		return
	}
	l.pool.drop(l.conn)
}
