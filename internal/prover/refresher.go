package prover

import (
	"math/rand/v2"
	"time"
)

// Step is what an instance does to renew its proof.
type Step int

// Steps. AskPeers is to request the proofs of other instances, ReadStore is to make a
// linearizable read.
const (
	Wait Step = iota
	AskPeers
	ReadStore
)

const (
	// rootInterval is the time between two reads of the root; a fifth of the limit if that
	// is less.
	rootInterval = time.Second
	// rootRetryInterval is the time between two reads of the root once its proof is older
	// than half of the limit: the whole fleet waits for it.
	rootRetryInterval = 400 * time.Millisecond
	// startSpread spreads the first reads of instances that started together.
	startSpread = 300 * time.Millisecond
	// firstAskInterval and maxAskInterval limit the time between two requests to other
	// instances, which doubles.
	firstAskInterval = time.Second
	maxAskInterval   = 8 * time.Second
)

// Refresher decides when an instance renews its proof. It is not safe for concurrent use.
type Refresher struct {
	// Limit is the age at which a proof is of no use any more.
	Limit time.Duration
	// RetryPause returns the mean pause between two reads of an instance that is not the
	// root. It rises with the size of the fleet, all of which lacks proofs while the store
	// is away.
	RetryPause func() time.Duration

	rootReadAt time.Time
	// lacking is true from when the proof is older than half of the limit.
	lacking     bool
	readAt      time.Time
	askAt       time.Time
	askInterval time.Duration
}

// Next returns the next step of an instance with the proof. The root reads the store on
// behalf of the fleet.
func (r *Refresher) Next(now time.Time, proof Proof, isRoot bool) Step {
	if isRoot {
		return r.nextOfRoot(now, proof)
	}
	if !proof.IsZero() && now.Sub(proof.At) < r.Limit/2 {
		r.lacking = false
		return Wait
	}
	if !r.lacking {
		r.begin(now, proof)
	}
	switch {
	case !now.Before(r.readAt):
		pause := r.RetryPause()
		r.readAt = now.Add(pause/2 + rand.N(pause))
		return ReadStore
	case !now.Before(r.askAt):
		r.askAt = now.Add(r.askInterval)
		r.askInterval = min(2*r.askInterval, maxAskInterval)
		return AskPeers
	}
	return Wait
}

// begin plans the first steps of an instance that has begun to lack a proof. It reads the
// store itself only if the other instances have nothing fresher either.
func (r *Refresher) begin(now time.Time, proof Proof) {
	spread := r.Limit / 5
	if proof.IsZero() {
		spread = startSpread
	}
	r.lacking = true
	r.askAt, r.askInterval = now, firstAskInterval
	r.readAt = now.Add(spread/10 + rand.N(spread))
}

func (r *Refresher) nextOfRoot(now time.Time, proof Proof) Step {
	r.lacking = false
	interval := min(rootInterval, r.Limit/5)
	if now.Sub(proof.At) >= r.Limit/2 {
		interval = min(rootRetryInterval, interval)
	}
	if now.Sub(proof.At) < interval || now.Before(r.rootReadAt) {
		return Wait
	}
	r.rootReadAt = now.Add(interval)
	return ReadStore
}
