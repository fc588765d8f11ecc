package observer

import (
	"sync"
	"time"
)

// StallTimeout is how long a request may go unanswered until its server counts as
// stalled, or its gateway as silent. Work takes at most 45 ms, and a full queue at
// the server some 150 ms.
const StallTimeout = 300 * time.Millisecond

// Outstanding tracks requests that were sent and are not answered.
//
// Its main use is to notice that a primary's commits are not acknowledged. While
// no replica receives them, a commit waits at the server until its deadline,
// occupies a connection, and ends with an unknown outcome. One such write is enough
// to notice when replicas receive again; others are refused before they are sent.
type Outstanding struct {
	mu      sync.Mutex
	pending map[*time.Time]struct{}
}

// Begin records a request that is sent. The returned function records its end.
func (o *Outstanding) Begin(began time.Time) (end func()) {
	key := &began
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending == nil {
		o.pending = map[*time.Time]struct{}{}
	}
	o.pending[key] = struct{}{}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.pending, key)
	}
}

// Oldest returns when the oldest unanswered request was sent; false if there is none.
func (o *Outstanding) Oldest() (began time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for t := range o.pending {
		if !ok || t.Before(began) {
			began, ok = *t, true
		}
	}
	return began, ok
}

// IsStalled reports whether a request has been unanswered for too long.
func (o *Outstanding) IsStalled(now time.Time) bool {
	began, ok := o.Oldest()
	return ok && now.Sub(began) > StallTimeout
}
