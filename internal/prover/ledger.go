package prover

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstEpoch is the epoch of a store that was never restored; 0 stands for a store
	// that does not number its epochs.
	firstEpoch = 1
	// settlingTime is how long after the first sign of an epoch reads prove nothing. The
	// operator writes what the restored copy lacks again within about two seconds.
	settlingTime = 2500 * time.Millisecond
	// maxProofs limits the proofs for versions that are not in force yet.
	maxProofs = 8
)

// Ledger holds the proofs that an instance knows. The zero value holds none. It is not
// safe for concurrent use.
type Ledger struct {
	// proofs are ordered by version and by time, both strictly rising.
	proofs []Proof
	// newest is the highest version that is known.
	newest int64
	// epoch is the latest known epoch of the store. Reads of it prove something from
	// settledAt on if they return the version floor, the highest one that was known
	// when the epoch began, or a later one.
	epoch     int64
	settledAt time.Time
	floor     int64
}

// ObserveEpoch records that the store is in the epoch now.
func (l *Ledger) ObserveEpoch(epoch int64, now time.Time) {
	if epoch <= l.epoch {
		return
	}
	l.epoch = epoch
	if epoch > firstEpoch {
		l.settledAt, l.floor = now.Add(settlingTime), l.newest
	}
}

// ObserveVersion records that the version exists.
func (l *Ledger) ObserveVersion(version int64) { l.newest = max(l.newest, version) }

// Record adds what the read proves, and reports whether it proves something.
func (l *Ledger) Record(r Read) bool {
	l.ObserveVersion(r.Version)
	if r.Epoch != l.epoch || r.Began.Before(l.settledAt) || r.Version < l.floor {
		return false
	}
	l.Add(Proof{r.Version, r.Began})
	return true
}

// Add adds a proof, for example one of another instance. Versions only rise, but for a
// restore of the store: a proof of an older version for a later time than that of a known
// newer one comes from an instance that started after a restore, and is ignored.
func (l *Ledger) Add(p Proof) {
	if p.IsZero() || slices.ContainsFunc(l.proofs, func(q Proof) bool {
		return q.covers(p) || q.Version > p.Version && !p.At.Before(q.At)
	}) {
		return
	}
	l.ObserveVersion(p.Version)
	l.proofs = slices.DeleteFunc(l.proofs, p.covers)
	i, _ := slices.BinarySearchFunc(l.proofs, p.Version, func(q Proof, version int64) int { return cmp.Compare(q.Version, version) })
	l.proofs = slices.Insert(l.proofs, i, p)
	if n := len(l.proofs); n > maxProofs {
		// The first ones become usable soonest, the last one is the newest.
		l.proofs = slices.Delete(l.proofs, n-2, n-1)
	}
}

// Usable returns the newest proof that applies while the version is in force; the zero
// value if there is none. Versions in force only rise.
func (l *Ledger) Usable(inForce int64) Proof {
	for len(l.proofs) > 1 && l.proofs[1].Version <= inForce {
		l.proofs = l.proofs[1:]
	}
	if len(l.proofs) == 0 || l.proofs[0].Version > inForce {
		return Proof{}
	}
	return l.proofs[0]
}
