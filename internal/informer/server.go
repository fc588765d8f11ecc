package informer

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

// Server is a backend server as its entry in the store describes it, and the times
// at which this instance saw changes of the entry.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that it runs concurrently.
	Slots    int
	Draining bool
	Role     exchanger.Role
	// Born identifies an incarnation of the server: the start of its process, by its
	// own clock, in milliseconds of Unix time.
	Born int64
	// Sequence rises with each entry that this incarnation writes.
	Sequence int64
	// DrainingSince is when this instance first saw the server draining; zero
	// while it is not.
	DrainingSince time.Time
	// DrainingAfter is a time before which the store had not acknowledged that the server is
	// draining. It is zero while the server is not draining, or if no such time is known.
	DrainingAfter time.Time
	// Since is when this instance first saw this incarnation.
	Since time.Time
	// MissingSince is when the list first lacked the server; zero while it is listed.
	MissingSince time.Time
}

// Target returns where to connect.
func (s Server) Target() exchanger.Target {
	return exchanger.Target{Service: s.Service, ServerID: s.ID, Address: s.Address}
}
