package loader

import (
	"math/rand/v2"
	"time"
)

// Mix states what callers do.
type Mix struct {
	// Weights of the operations; 0 leaves one out.
	RegisterWrite, RegisterRead   int
	CatalogueWrite, CatalogueRead int
	Insert, Pair, Pay, Echo       int
	// RegisterKeys is the number of shared register keys.
	RegisterKeys int
	// MaxAge is the age that the manifest states for table catalogue.
	MaxAge time.Duration
	// Pause is the mean time between two operations of a caller.
	Pause time.Duration
	// SwitchShare is the share of operations before which the caller moves to
	// another instance without notice.
	SwitchShare float64
}

// FullMix exercises every rule of package examiner.
func FullMix(maxAge time.Duration) Mix {
	return Mix{
		RegisterWrite: 2, RegisterRead: 3, CatalogueWrite: 2, CatalogueRead: 6, Insert: 2, Pair: 1, Pay: 2, Echo: 2,
		RegisterKeys: 6, MaxAge: maxAge, Pause: 10 * time.Millisecond, SwitchShare: 0.03,
	}
}

// ReadOnlyMix reads table catalogue and nothing else. Its sessions keep the floor
// that they took when they attached, so only the stated age keeps them off
// replicas that fall behind.
func ReadOnlyMix(maxAge time.Duration) Mix {
	return Mix{CatalogueRead: 1, MaxAge: maxAge, Pause: 10 * time.Millisecond}
}

// BrowseMix has 10 % writes and reads that accept data of a stated age.
func BrowseMix(maxAge time.Duration) Mix {
	return Mix{CatalogueWrite: 1, CatalogueRead: 9, MaxAge: maxAge, Pause: 10 * time.Millisecond}
}

type action int

const (
	registerWrite action = iota
	registerRead
	catalogueWrite
	catalogueRead
	insertRow
	insertPair
	pay
	echo
)

func (m Mix) weights() []int {
	return []int{m.RegisterWrite, m.RegisterRead, m.CatalogueWrite, m.CatalogueRead, m.Insert, m.Pair, m.Pay, m.Echo}
}

func (m Mix) pick(rnd *rand.Rand) action {
	weights := m.weights()
	total := 0
	for _, w := range weights {
		total += w
	}
	n := rnd.IntN(total)
	for i, w := range weights {
		if n < w {
			return action(i)
		}
		n -= w
	}
	return echo
}
