package placer

import "time"

// PrimaryWaitLimit returns how long a request may wait until a primary is known: a
// quarter of its objective, but not longer than the timeout of its statement. A
// request that waits longer rarely meets its objective, and its caller can ask
// another instance, which may know the primary.
func PrimaryWaitLimit(objective, timeout time.Duration) time.Duration {
	return min(objective/4, timeout)
}

// WaitDeadline returns until when a request may wait for a connection: half of its
// objective, which leaves the other half for its execution. A request that waits
// longer is refused, and its caller can ask another instance.
func WaitDeadline(received time.Time, objective time.Duration) time.Time {
	return received.Add(objective / 2)
}

// QueueLimit returns how many requests may wait for a slot at a server with the
// given number of slots and mean latency: as many as the server finishes within
// maxQueueTime (a fraction of a second), but at least as many as there are slots.
func QueueLimit(slots int, latency time.Duration) int {
	if latency <= 0 {
		latency = assumedLatency
	}
	return max(int(maxQueueTime*time.Duration(slots)/latency), slots)
}

// maxQueueTime is about half of the longest objective of reads. A request that
// would wait longer gives up its place to more urgent ones.
const maxQueueTime = 250 * time.Millisecond

const (
	// slotTimeoutFactor covers requests that take far longer than the mean.
	slotTimeoutFactor = 8
	// minSlotTimeout applies to servers whose requests are short: a network delay
	// must not be taken for a lost answer.
	minSlotTimeout = 100 * time.Millisecond
)

// SlotTimeout returns how long a request may occupy its slot at a server with the
// given mean latency: several times the latency, and at least minSlotTimeout.
// After that, its answer is taken to be lost or far slower than others, and the
// slot goes to the next request.
func SlotTimeout(latency time.Duration) time.Duration {
	if latency <= 0 {
		latency = assumedLatency
	}
	return max(slotTimeoutFactor*latency, minSlotTimeout)
}

// HedgeDelay returns how long a read waits for the answer of one server before a
// second server is asked as well: half of its objective. The first answer is used.
// This covers servers that are slow or lose answers, and instances that are frozen
// or partitioned.
func HedgeDelay(objective time.Duration) time.Duration { return objective / 2 }
