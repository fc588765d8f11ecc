package certifier

import (
	"context"
	"time"

	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/tracker"
)

// Minimum is the minimum position of a session. The zero value stands for none.
type Minimum struct {
	Position tracker.Position
	// IsSet is false while nothing is known of what the session has to see. The position
	// still is a lower bound.
	IsSet bool
	// At is when the position was confirmed; zero if it comes from a token.
	At time.Time
}

// With returns the minimum with a position that was confirmed at the time.
func (Minimum) With(p tracker.Position, at time.Time) Minimum {
	return Minimum{Position: p, IsSet: true, At: at}
}

// WithCommit returns the minimum after the session's own confirmed commit. Everything that was
// acknowledged before the commit began has a lower position, so a session without a minimum
// position can start with this one.
func (m Minimum) WithCommit(p tracker.Position, at time.Time) Minimum {
	if p.Compare(m.Position) > 0 || !m.IsSet {
		return m.With(p, at)
	}
	return m
}

// WithUnknownCommit returns the minimum after a commit of unknown outcome, which may have
// happened at a position above it.
func (m Minimum) WithUnknownCommit() Minimum {
	m.IsSet = false
	return m
}

// Minimum returns the minimum of a session, which is the position of the current primary if the
// session has none. If that position is not confirmed in time, the session still has none.
func (c *Certifier) Minimum(m Minimum, clock interface{ Now() time.Time }) Minimum {
	if m.IsSet {
		return m
	}
	ctx, cancel := context.WithTimeout(context.Background(), minimumTimeout)
	defer cancel()
	res, err := c.cfg.Confirmer.Confirm(ctx, confirmer.Request{Group: c.cfg.Group, Fresh: true})
	if err != nil || res.Outcome != confirmer.Confirmed {
		return m
	}
	return m.With(res.Position, clock.Now())
}
