package hedger

import "sync"

const (
	// share is how many additional tries a read earns. One of three servers that fails
	// most of its requests needs about a quarter; a service whose servers are all slow
	// gets no more than a quarter of additional load.
	share = 0.25
	// burst is how many tries may be saved up: those of the reads that are under way at
	// an instance when one server of a service fails.
	burst = 10
)

// Budget is the budget of one service. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	tries float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tries: burst} }

// Earn adds what one read earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tries = min(b.tries+share, burst)
}

// Has reports whether there is a try.
func (b *Budget) Has() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tries >= 1
}

// Spend takes one try and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tries < 1 {
		return false
	}
	b.tries--
	return true
}
