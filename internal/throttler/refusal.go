package throttler

import (
	"fmt"
	"time"
)

// Refusal is the error for an operation that is not admitted. The operation has not run.
type Refusal struct {
	// Reason tells why there was no token.
	Reason string
	// After is when the caller should come back.
	After time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("quota: %s; nothing ran, retry in %d ms", r.Reason, r.After.Milliseconds())
}

// Reasons of refusals.
const (
	usedUp      = "the team's quota is used up"
	noAllocator = "the instance that allocates the team's quota is out of reach"
	noAnswer    = "the instance that allocates the team's quota does not answer"
	notInForce  = "the team's quota is not in force yet at the instance that allocates it"
)
