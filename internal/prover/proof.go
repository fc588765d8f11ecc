package prover

import "time"

// Proof says that no version that was acknowledged before a time is newer than Version.
// The zero value stands for no proof.
type Proof struct {
	Version int64
	// At is the time: when the read that returned Version was begun.
	At time.Time
}

// IsZero reports whether there is no proof.
func (p Proof) IsZero() bool { return p.At.IsZero() }

// covers reports whether p is at least as new as q and applies wherever q does.
func (p Proof) covers(q Proof) bool { return p.Version <= q.Version && !p.At.Before(q.At) }

// Read is the result of a linearizable read of the configuration.
type Read struct {
	// Began is when the read was begun.
	Began time.Time
	// Epoch is the store's epoch in which the read was made, Version what it returned.
	Epoch, Version int64
}
