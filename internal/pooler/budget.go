package pooler

import "sync"

// Defaults of the retry budget, from section 4.6 of the design page.
const (
	RetryRatio   = 0.1
	RetryReserve = 10
)

// budgetCeiling bounds what calm periods save up, so that a later failure does
// not meet a storm of retries.
const budgetCeiling = 10 * RetryReserve

// RetryBudget limits retries to a share of requests plus a reserve. It is safe for
// concurrent use.
type RetryBudget struct {
	ratio   float64
	ceiling float64

	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that allows ratio retries per request and reserve
// further ones.
func NewRetryBudget(ratio float64, reserve int) *RetryBudget {
	return &RetryBudget{ratio: ratio, ceiling: max(float64(reserve), budgetCeiling), tokens: float64(reserve)}
}

// CountRequest notes a first attempt.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.ratio, b.ceiling)
	b.mu.Unlock()
}

// AllowRetry reports whether a retry is allowed, and spends it.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Sums of the ratio are not exact.
	const tolerance = 1e-9
	if b.tokens+tolerance < 1 {
		return false
	}
	b.tokens--
	return true
}
