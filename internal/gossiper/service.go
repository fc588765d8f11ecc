package gossiper

import (
	"context"
	"slices"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// Service serves the requests of other instances.
type Service struct {
	Name     string
	View     View
	Gossiper *Gossiper
}

// Exchange implements the Peers service: it merges the caller's state and returns
// this instance's.
func (s Service) Exchange(_ context.Context, in *wire.PeerState) (*wire.PeerState, error) {
	if s.View.Learn(in, time.Time{}) {
		s.Gossiper.Pull(in.GetHeader().GetInstance())
	}
	state := s.View.State(in)
	if size := recordsSize(state); size > 0 && !s.Gossiper.handouts.take(size) {
		// The caller sees that its records are older and asks again.
		state.Configuration, state.Servers = nil, nil
	}
	return state, nil
}

// recordsSize returns the size of the configuration and the list of servers in the message.
func recordsSize(s *wire.PeerState) int {
	size := len(s.GetConfiguration())
	for _, e := range s.GetServers() {
		size += len(e.GetKey()) + len(e.GetValue())
	}
	return size
}

// EndTenure implements the Peers service: this instance stops acting as the
// coordinator in the tenure with the token.
func (s Service) EndTenure(_ context.Context, in *wire.EndTenureRequest) (*wire.EndTenureResponse, error) {
	s.View.EndTenure(in.GetToken())
	return &wire.EndTenureResponse{Header: in.GetHeader(), Instance: s.Name}, nil
}

// Permit implements the Peers service: it returns this instance's primary leases,
// which the messages call permits. A request without a name is a probe of the
// failure detector. One that names its sender as lost says that the sender is stopping.
func (s Service) Permit(_ context.Context, in *wire.PermitRequest) (*wire.PermitResponse, error) {
	detector := s.Gossiper.detector
	if in.GetInstance() == "" {
		return &wire.PermitResponse{}, nil
	}
	if slices.Contains(in.GetLost(), in.GetInstance()) {
		s.View.LearnStopping(in.GetInstance())
		return &wire.PermitResponse{}, nil
	}
	detector.Heartbeat(in.GetInstance())
	detector.RecordReported(in.GetLost())
	s.View.LearnWaits(in.GetWaits())
	resp := s.View.Leases()
	resp.Waits = s.View.Waits()
	if len(resp.GetPermits()) > 0 || len(resp.GetSwitchovers()) > 0 {
		resp.Lost = detector.Failed()
	}
	return resp, nil
}
