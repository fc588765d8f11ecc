package dispatcher

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/tracker"
)

// Request is a caller's statement with what it needs to run.
type Request struct {
	Statement exchanger.Statement
	Context   linker.Context
	Route     informer.Route
	// Received is when the statement, or the begin of its transaction, was
	// read from the caller.
	Received time.Time
	// Floor covers the session's own commits.
	Floor tracker.Position
	// FloorAt is when the newest of these commits was acknowledged.
	FloorAt time.Time
}

// IsWrite reports whether the statement changes data.
func (r Request) IsWrite() bool {
	if r.Statement.Kind == exchanger.Execute {
		return r.Context.Prepared != nil && r.Context.Prepared.Kind == exchanger.Write
	}
	return r.Statement.Kind == exchanger.Write
}

func (r Request) deadline(now time.Time) time.Time { return now.Add(r.Route.StatementTimeout) }

// holdUntil returns until when the request may wait for a primary.
func (r Request) holdUntil(now time.Time) time.Time {
	return now.Add(placer.HoldLimit(r.Route.Objective, r.Route.StatementTimeout))
}
