package pooler

import "sync"

// Defaults of the retry budget, from section 4.6 of the design page.
const (
	// RetryRatio is the number of retries that each request adds.
	RetryRatio = 0.1
	// RetryReserve is the number of retries that are available at the start.
	RetryReserve = 10
)

// maxRetryTokens bounds the retries that accumulate while few are needed, so
// that a later failure does not cause a retry storm.
const maxRetryTokens = 10 * RetryReserve

// RetryBudget limits retries to a share of the requests plus a reserve. It is a
// token bucket: a request adds a fraction of a token, a retry takes one. It is
// safe for concurrent use.
type RetryBudget struct {
	ratio     float64 // tokens per request
	maxTokens float64

	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that allows ratio retries per request and, in
// addition, reserve retries.
func NewRetryBudget(ratio float64, reserve int) *RetryBudget {
	return &RetryBudget{ratio: ratio, maxTokens: max(float64(reserve), maxRetryTokens), tokens: float64(reserve)}
}

// CountRequest counts a request that is sent for the first time.
func (b *RetryBudget) CountRequest() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
	b.mu.Unlock()
}

// AllowRetry reports whether a retry is allowed, and counts it.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The sum of many ratios is not exact.
	const tolerance = 1e-9
	if b.tokens+tolerance < 1 {
		return false
	}
	b.tokens--
	return true
}
