package observer

import "time"

// readMemory is how long an answer to a caller's read shows that the server works, whatever
// becomes of queries for its status. A server that has failed since then is found by the
// next read.
const readMemory = 300 * time.Millisecond

// BehindMemory is how long a replica counts as behind after it did not cover a position.
const BehindMemory = 300 * time.Millisecond

// ObserveRead records that the server has run a caller's read.
func (o *Observer) ObserveRead(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ranReadAt = now
}

// ObserveQueryFailure records that the server did not answer a query of the instance itself.
// It is avoided unless it has run a read just now.
func (o *Observer) ObserveQueryFailure(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.health.RecordFailure()
	if now.Sub(o.ranReadAt) > readMemory {
		o.avoid = now.Add(avoidAfterFailure)
	}
}

// RecordPassedOver records that a read was not tried at the replica because it lacks what
// the read needs.
func (o *Observer) RecordPassedOver(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.passedOverAt = now
}

// PassedOverAt returns when a read was last not tried at the replica.
func (o *Observer) PassedOverAt() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.passedOverAt
}

// RecordBehind records that the replica did not cover a position of the given age.
func (o *Observer) RecordBehind(now time.Time, age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.behindAge, o.behindAt = age, now
}

// LackedAt returns when the replica last did not cover a position.
func (o *Observer) LackedAt() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.behindAt
}

// IsBehind reports whether the replica recently did not cover a position that was at least
// as old as the given one.
func (o *Observer) IsBehind(now time.Time, age time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.behindAt) < BehindMemory && age <= o.behindAge
}
