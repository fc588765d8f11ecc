package confirmer

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// hearing measures for how long the monitor of a group has left questions
// unanswered. All requests of the group share it, so that only the first of
// them waits for a dead monitor.
type hearing struct {
	clock clockwork.Clock

	mu sync.Mutex
	// since is the start of the silence, zero when no question was asked since
	// the last answer.
	since time.Time
}

// note ends the silence.
func (h *hearing) note() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.since = time.Time{}
}

// silence returns the length of the silence. It is called while a question is
// open, and starts the measurement if there is none.
func (h *hearing) silence() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		h.since = h.clock.Now()
	}
	return h.clock.Since(h.since)
}
