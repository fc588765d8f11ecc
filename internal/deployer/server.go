package deployer

import (
	"fmt"
	"time"

	"marigoldhub.example/hub/standin/server"
)

// Server is a backend server stand-in that was started, with its current
// process.
type Server struct {
	*Process
	// Group is the name of the server's database group.
	Group string
	// Zone is the name of the server's availability zone.
	Zone string
	// IP is the source IP number of the server's own connections.
	IP string
	// Address is the public "host:port" for SQL.
	Address string
	// DirectAddress is the "host:port" for SQL that bypasses standin-link.
	DirectAddress string

	zone       int
	number     int
	controlURL string
	start      func() (*Process, error)
}

// Restart starts the server, again after its process has ended, with the log on
// disk, and waits until it responds.
func (s *Server) Restart() error {
	p, err := s.start()
	if err != nil {
		return err
	}
	s.Process = p
	return waitFor(s.Name, 10*time.Second, func() error {
		_, err := s.State()
		return err
	})
}

// State returns the state that the server reports on its control port.
func (s *Server) State() (server.State, error) {
	var state server.State
	err := call("GET", s.controlURL+"/v1/state", nil, &state)
	return state, err
}

// Log returns all records of the server's log.
func (s *Server) Log() (server.LogPage, error) {
	var page server.LogPage
	err := call("GET", s.controlURL+"/v1/log", nil, &page)
	return page, err
}

// SetLag sets the age at which the server as a replica applies log records.
func (s *Server) SetLag(d time.Duration) error {
	return call("POST", fmt.Sprintf("%s/v1/lag?delay=%v", s.controlURL, d), nil, nil)
}

// SetLeaving sets or clears the leaving mark of the server's status.
func (s *Server) SetLeaving(on bool) error {
	return call("POST", fmt.Sprintf("%s/v1/leaving?on=%v", s.controlURL, on), nil, nil)
}

// SetFrozen stops all responses of the server, replication included, until it is
// unset.
func (s *Server) SetFrozen(on bool) error {
	return call("POST", fmt.Sprintf("%s/v1/freeze?on=%v", s.controlURL, on), nil, nil)
}

// LoseResponses makes the next n commits take effect without a response.
func (s *Server) LoseResponses(n int) error {
	return call("POST", fmt.Sprintf("%s/v1/lose_answer?count=%d", s.controlURL, n), nil, nil)
}
