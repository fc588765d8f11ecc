package pooler

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrReleased is returned by Cancel after Release or Discard.
var ErrReleased = errors.New("the connection was released")

// handle is the exclusive use of a connection. A cancel request through an
// ended handle is refused, so it cannot hit a statement of the next holder.
type handle struct {
	*conn
	pool *Pool

	ended atomic.Bool // by Release or Discard
	// mu is held while Cancel runs.
	mu sync.Mutex
	// cancelInFlight is set when a cancel request may still reach the server
	// although Cancel has returned.
	cancelInFlight bool
}

var _ Conn = (*handle)(nil)

// Cancel implements [Conn].
func (h *handle) Cancel(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended.Load() {
		return ErrReleased
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	sent, err := h.pool.connector.cancel(ctx, h.server.target, h.processID, h.secretKey)
	if err != nil && sent {
		h.cancelInFlight = true
	}
	return err
}

// Release implements [Conn].
func (h *handle) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended.Swap(true) {
		return
	}
	if h.cancelInFlight || !h.clean() {
		h.pool.discard(h.conn)
		return
	}
	if h.statements.len() > maxStatements {
		go h.pool.trimAndRelease(h.conn)
		return
	}
	h.pool.release(h.conn)
}

// Discard implements [Conn]. It does not wait for Cancel, because the connection
// gets no other holder.
func (h *handle) Discard() {
	if h.ended.Swap(true) {
		return
	}
	h.pool.discard(h.conn)
}
