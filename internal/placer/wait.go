package placer

import "time"

// PrimaryWaitLimit returns how long a request without a primary may wait for one. A
// request that waits longer than a quarter of its objective rarely meets it,
// and its caller can ask another instance that may know the primary.
func PrimaryWaitLimit(objective, timeout time.Duration) time.Duration {
	return min(objective/4, timeout)
}

// WaitDeadline returns until when a request may wait for a connection: half of its
// objective leaves the other half for its work. Whoever waits longer is refused
// and can ask another instance.
func WaitDeadline(received time.Time, objective time.Duration) time.Time {
	return received.Add(objective / 2)
}

// SpillDeadline returns until when a read may wait at one server while others are
// left that it could run at. Servers' loads differ more than instances know:
// each sends a server of a large fleet about one request a second.
func SpillDeadline(now time.Time, objective time.Duration) time.Time {
	return now.Add(objective / 8)
}

// QueueLimit returns how many requests may wait for a turn at a server whose
// requests take the latency: as many as have their turn within maxQueueTime.
func QueueLimit(slots int, latency time.Duration) int {
	if latency <= 0 {
		latency = assumedLatency
	}
	return max(int(maxQueueTime*time.Duration(slots)/latency), slots)
}

// maxQueueTime is about half of the longest objective of reads. A request that
// would wait longer makes room for more urgent ones.
const maxQueueTime = 250 * time.Millisecond

const (
	// slotTimeoutFactor covers requests whose work is far above the mean.
	slotTimeoutFactor = 8
	// minSlotTimeout is kept for servers whose requests are short: a delay on the way
	// must not look like a lost answer.
	minSlotTimeout = 100 * time.Millisecond
)

// SlotTimeout returns how long a request may keep its turn at a server whose
// requests take the latency. After it, the answer is taken to be lost or far
// slower than others, and the next request has its turn.
func SlotTimeout(latency time.Duration) time.Duration {
	if latency <= 0 {
		latency = assumedLatency
	}
	return max(slotTimeoutFactor*latency, minSlotTimeout)
}

// HedgeDelay returns how long a read waits for the answer of one server before
// another is asked as well. The answer that comes first counts. It answers
// servers that are slow or lose answers, and instances that are frozen or cut off.
func HedgeDelay(objective time.Duration) time.Duration { return objective / 2 }
