package prober

import (
	"context"

	"marigoldhub.example/hub/internal/promoter"
	"marigoldhub.example/hub/internal/tracker"
)

// Session is a connection to the control interface of one backend server. It is
// not safe for concurrent use and must be closed after an error.
type Session interface {
	tracker.StatusReader
	promoter.Commander
}

// ConnectFunc opens a session to one backend server.
type ConnectFunc func(ctx context.Context) (Session, error)
