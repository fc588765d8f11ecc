package connector

import (
	"time"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/linker"
)

// Request describes a request for a connection to a server.
type Request struct {
	// Team is the team whose statements will run on the connection; empty without teams.
	Team string
	// IsOwn is set for statements of the instance itself, which run on a connection of
	// any team.
	IsOwn    bool
	Priority int
	// WaitDeadline is until when the request may wait for a connection.
	WaitDeadline time.Time
	// Due is when the caller has no more use for the answer.
	Due time.Time
	// Remaining is the time until Due.
	Remaining time.Duration
	// IsWrite is set if the request waits for an acknowledged commit.
	IsWrite bool
	// Left is closed when the caller has left; nil if that is not noticed.
	Left <-chan struct{}
	// Values are the caller's session values.
	Values map[string]string
}

// Urgency returns how urgent the request is among those that wait for a slot.
func (r Request) Urgency() admitter.Urgency {
	return admitter.Urgency{Priority: r.Priority, Team: r.Team, Due: r.Due, Left: r.Left}
}

// HasLeft reports whether the caller has left.
func (r Request) HasLeft() bool { return HasLeft(r.Left) }

// HasLeft reports whether the caller has left, which closes the channel.
func HasLeft(left <-chan struct{}) bool {
	select {
	case <-left:
		return true
	default:
		return false
	}
}

// ofPool returns the request for a connection of this instance's pool.
func (r Request) ofPool() linker.Request {
	return linker.Request{Priority: r.Priority, Deadline: r.WaitDeadline, User: r.Team, AnyUser: r.IsOwn, Left: r.Left, Values: r.Values}
}
