package placer

import (
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// Floor is a log position that a read's server must have.
type Floor struct {
	Position tracker.Position
	// AvailableAt is the time since which replicas could have received it.
	AvailableAt time.Time
}

// Progress is a recent position of a replica that is behind.
type Progress struct {
	Position tracker.Position
	// At is when the replica had the position.
	At time.Time
	// PassedAt is when the primary's log is first known to have gone beyond the
	// position; zero if that is not known.
	PassedAt time.Time
}

// Lag returns how far the replica was behind.
func (p Progress) Lag() time.Duration {
	if p.PassedAt.IsZero() {
		return 0
	}
	return max(p.At.Sub(p.PassedAt), 0)
}

// CoversAt returns when the replica is expected to have the floor: it applies the log
// as fast as the primary writes it. A replica that had the floor at At covers it since
// then.
func (p Progress) CoversAt(f Floor) time.Time {
	if p.Position.Compare(f.Position) >= 0 {
		return p.At
	}
	at := f.AvailableAt.Add(p.Lag())
	if at.Before(p.At) {
		return p.At
	}
	return at
}

// Lacks reports whether a read with the floor should not be sent to the replica: it
// lacked the floor although it could have received it, or it is not expected to have it
// yet. It answers the load of a replica that stands still or is seconds behind, to which
// all instances would send their reads in vain.
func (p Progress) Lacks(f Floor, now time.Time) bool {
	if p.Position.Compare(f.Position) >= 0 {
		return false
	}
	return !f.AvailableAt.After(p.At) || p.CoversAt(f).After(now)
}
