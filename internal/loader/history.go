package loader

import (
	"sync"
	"time"

	"marigoldhub.example/hub/internal/examiner"
)

// History collects the operations of concurrent callers. Their times are
// durations since its creation on one monotonic clock.
type History struct {
	begin time.Time

	mu  sync.Mutex
	ops []examiner.Operation
}

// NewHistory returns an empty history whose time starts now.
func NewHistory() *History { return &History{begin: time.Now()} }

// Now returns the time since the start of the history.
func (h *History) Now() time.Duration { return time.Since(h.begin) }

// Add appends an operation.
func (h *History) Add(op examiner.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// Operations returns a copy of all operations.
func (h *History) Operations() []examiner.Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]examiner.Operation(nil), h.ops...)
}
