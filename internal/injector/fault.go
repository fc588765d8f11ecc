package injector

import (
	"context"
	"time"
)

// Fault is something that goes wrong.
type Fault struct {
	Name string
	// Hold is how long the fault stays before it is healed.
	Hold time.Duration
	// Planned marks a stop that must cut off no request in flight.
	Planned bool
	// Inject brings the fault about and registers what undoes it.
	Inject func(ctx context.Context, s *Scene) error
	// Verify checks, before the fault is healed, that the installation
	// reacted. It may be nil.
	Verify func(s *Scene) error
}

// both returns a fault that is two faults at once.
func both(a, b Fault) Fault {
	return Fault{Name: a.Name + "+" + b.Name, Hold: max(a.Hold, b.Hold), Planned: a.Planned && b.Planned, Inject: func(ctx context.Context, s *Scene) error {
		if err := a.Inject(ctx, s); err != nil {
			return err
		}
		return b.Inject(ctx, s)
	}}
}

const (
	shortHold = 1500 * time.Millisecond
	// longHold is longer than a grant and than the alive limit of members.
	longHold = 4 * time.Second
	// stallHold covers the detection of stalled replication (2 s) and the
	// promotion.
	stallHold = 5 * time.Second
)

// Faults returns every fault of the matrix.
func Faults() []Fault {
	single := []Fault{
		killPrimary, killReplicas, killEntry, killMonitor, freezePrimary, freezeEntry, freezeMonitor,
		cutPrimary, cutPrimaryOneWay, cutReplication, partition, cutEntry, lagReplicas,
		storeDown, storeSlow, storeLosesAnswers, operatorRace, stopEntry, serverLeaving, plannedChange, serverLosesAnswers,
	}
	return append(single,
		blindMonitor, both(killPrimary, killMonitor), both(cutPrimary, storeDown), both(killPrimary, freezeEntry),
		both(cutPrimary, killEntry), both(killPrimary, storeDown))
}
