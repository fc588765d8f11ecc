package executor

import "sync/atomic"

// Faults are faults that tests switch on.
type Faults struct {
	// Slow delays each statement, in nanoseconds.
	Slow atomic.Int64
	// LoseAnswer counts the next commits that take effect without an answer.
	LoseAnswer atomic.Int64
}

// takeLoss reports whether the answer of this commit is lost.
func (f *Faults) takeLoss() bool {
	for {
		n := f.LoseAnswer.Load()
		if n <= 0 {
			return false
		}
		if f.LoseAnswer.CompareAndSwap(n, n-1) {
			return true
		}
	}
}
