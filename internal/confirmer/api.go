package confirmer

import (
	"context"

	"marigoldhub.example/hub/internal/tracker"
)

// Request asks for the confirmation of one position.
type Request struct {
	Group string
	// Position is the place to confirm. The zero position asks for the
	// current primary's own position; such a request is always fresh.
	Position tracker.Position
	// Fresh demands a proof that began after the call.
	Fresh bool
}

// Outcome is the answer to a request.
type Outcome int

const (
	// Confirmed means that a majority stores the position in its own term.
	Confirmed Outcome = iota + 1
	// Superseded means that a later term is established. Result.Lineage and
	// Result.Position tell whether the position is part of it.
	Superseded
)

// Result carries an outcome with what was learnt.
type Result struct {
	Outcome Outcome
	// Position is the confirmed position, or the end of the current primary's
	// log when the request had the zero position or was superseded.
	Position tracker.Position
	// Lineage is the lineage of the established term.
	Lineage tracker.Lineage
}

// Contains reports whether p is part of the established log of a superseded
// result.
func (r Result) Contains(p tracker.Position) bool {
	return r.Lineage.Contains(p) && p.Offset <= r.Position.Offset
}

// Confirmer confirms positions. An error means that nothing was learnt before
// the deadline of ctx.
type Confirmer interface {
	Confirm(ctx context.Context, req Request) (Result, error)
}
