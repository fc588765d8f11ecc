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
	// Team is the caller's team; empty without teams.
	Team string
	// Context is the caller's session state.
	Context linker.Context
	// Route is the route of the caller's database.
	Route informer.Route
	// Received is when the statement, or the begin of its transaction, was
	// read from the caller.
	Received time.Time
	// Left is closed when the caller has left; nil if that is not noticed.
	Left <-chan struct{}
	// MinPosition is the log position of the session's last commit, which a session
	// read must cover.
	MinPosition tracker.Position
	// MinPositionAt is when that commit was acknowledged.
	MinPositionAt time.Time
}

// IsWrite reports whether the statement changes data.
func (r Request) IsWrite() bool {
	if r.Statement.Kind == exchanger.Execute {
		return r.Context.Prepared != nil && r.Context.Prepared.Kind == exchanger.Write
	}
	return r.Statement.Kind == exchanger.Write
}

func (r Request) deadline(now time.Time) time.Time { return now.Add(r.Route.StatementTimeout) }

// primaryWaitDeadline returns until when the request may wait for a known primary.
func (r Request) primaryWaitDeadline(now time.Time) time.Time {
	return now.Add(placer.PrimaryWaitLimit(r.Route.Objective, r.Route.StatementTimeout))
}
