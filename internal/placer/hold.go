package placer

import "time"

// HoldLimit returns how long a request without a primary may wait for one. A
// request that waits longer than a quarter of its objective rarely meets it,
// and its caller can ask another instance that may know the primary.
func HoldLimit(objective, timeout time.Duration) time.Duration {
	return min(objective/4, timeout)
}

// WaitLimit returns until when a request may wait for a connection: half of its
// objective leaves the other half for its work. Whoever waits longer is refused
// and can ask another instance.
func WaitLimit(received time.Time, objective time.Duration) time.Time {
	return received.Add(objective / 2)
}
