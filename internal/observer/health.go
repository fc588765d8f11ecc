package observer

import "time"

// Health is how a server has answered this instance.
type Health struct {
	// Answered is when the server last answered, and Failures how many attempts have
	// failed since.
	Answered time.Time
	Failures int
}

// RecordAnswer records that the server answered.
func (h *Health) RecordAnswer(now time.Time) { h.Answered, h.Failures = now, 0 }

// RecordFailure records that the server did not answer, or could not be reached.
func (h *Health) RecordFailure() { h.Failures++ }
