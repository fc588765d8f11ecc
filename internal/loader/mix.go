package loader

import (
	"math/rand/v2"
	"time"
)

// Mix states how often callers run each kind of operation and at which pace.
type Mix struct {
	// Relative weights of the operations; an operation with weight 0 does not
	// occur.
	RegisterWrite, RegisterRead   int
	CatalogueWrite, CatalogueRead int
	Insert, Pair, Pay, Echo       int
	// RegisterKeys is the number of shared register keys.
	RegisterKeys int
	// MaxAge is the maximum age of reads that the manifest states for table
	// catalogue.
	MaxAge time.Duration
	// Pause is the mean time between two operations of a caller; the times are
	// distributed exponentially.
	Pause time.Duration
	// SwitchShare is the share of operations, 0 to 1, before which the caller
	// calls SwitchInstance.
	SwitchShare float64
}

// FullMix contains every kind of operation, for all rules of package examiner.
func FullMix(maxAge time.Duration) Mix {
	return Mix{
		RegisterWrite: 2, RegisterRead: 3, CatalogueWrite: 2, CatalogueRead: 6, Insert: 2, Pair: 1, Pay: 2, Echo: 2,
		RegisterKeys: 6, MaxAge: maxAge, Pause: 10 * time.Millisecond, SwitchShare: 0.03,
	}
}

// ReadOnlyMix only reads table catalogue. Its sessions keep the minimum position
// that they had when they connected, so only the maximum age keeps them off
// replicas that fall behind.
func ReadOnlyMix(maxAge time.Duration) Mix {
	return Mix{CatalogueRead: 1, MaxAge: maxAge, Pause: 10 * time.Millisecond}
}

// BrowseMix has 10 % writes; its reads accept data of the maximum age.
func BrowseMix(maxAge time.Duration) Mix {
	return Mix{CatalogueWrite: 1, CatalogueRead: 9, MaxAge: maxAge, Pause: 10 * time.Millisecond}
}

// action is a kind of operation; weights returns the weights in this order.
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
