package confirmer

import (
	"context"

	"marigoldhub.example/hub/internal/tracker"
)

// Request asks for the confirmation of one position.
type Request struct {
	// Group is the name of the database group.
	Group string
	// Position is the position to confirm. The zero position asks for the read
	// index; such a request is always fresh.
	Position tracker.Position
	// Fresh requires a proof that began after the call.
	Fresh bool
}

// Outcome is the kind of a result.
type Outcome int

const (
	// Confirmed means that a majority stores the position in its own term.
	Confirmed Outcome = iota + 1
	// Superseded means that a later term is established. Result.Contains tells
	// whether a position is part of its log.
	Superseded
)

// Result is the answer to a request.
type Result struct {
	// Outcome tells whether the position is confirmed or superseded.
	Outcome Outcome
	// Position is the confirmed position, which is the read index if the request
	// had the zero position. In a superseded result it is a confirmed position of
	// the established term.
	Position tracker.Position
	// Lineage is the lineage of the established term.
	Lineage tracker.Lineage
}

// Contains reports whether p is part of the log of the established term up to
// r.Position. It is meant for superseded results.
func (r Result) Contains(p tracker.Position) bool {
	return r.Lineage.Contains(p) && p.Offset <= r.Position.Offset
}

// Confirmer confirms positions. An error means that the position is not known to
// be confirmed or superseded, usually because ctx ended first.
type Confirmer interface {
	Confirm(ctx context.Context, req Request) (Result, error)
}
