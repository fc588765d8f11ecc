package dispatcher

import (
	"sync"
	"time"
)

// stallTimeout is how long a write may go unanswered before no other follows it.
// Work takes at most 45 ms, and a full queue at the server some 150 ms.
const stallTimeout = 300 * time.Millisecond

// outstanding watches whether a primary's commits are acknowledged. While
// no replica receives them, a commit waits at the server until its deadline,
// with a connection, and ends unknown. One such write is enough to find out
// when replicas receive again; others are refused before they are sent.
type outstanding struct {
	mu      sync.Mutex
	pending map[*time.Time]struct{}
}

// begin notes a write that is sent. The returned function notes its end.
func (a *outstanding) begin(began time.Time) (end func()) {
	key := &began
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = map[*time.Time]struct{}{}
	}
	a.pending[key] = struct{}{}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.pending, key)
	}
}

// oldest returns the start of the oldest write that is not answered.
func (a *outstanding) oldest() (began time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for t := range a.pending {
		if !ok || t.Before(began) {
			began, ok = *t, true
		}
	}
	return began, ok
}

// isStalled reports whether a write has waited too long for its answer.
func (a *outstanding) isStalled(now time.Time) bool {
	began, ok := a.oldest()
	return ok && now.Sub(began) > stallTimeout
}
