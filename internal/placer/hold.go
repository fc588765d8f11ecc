package placer

import "time"

// HoldLimit returns how long a request without a primary may wait for one. A
// request that waits longer than a quarter of its objective rarely meets it,
// and its caller can ask another instance that may know the primary.
func HoldLimit(objective, timeout time.Duration) time.Duration {
	return min(objective/4, timeout)
}
