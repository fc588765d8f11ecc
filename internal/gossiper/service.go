package gossiper

import (
	"context"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// Service answers other instances.
type Service struct {
	Name     string
	View     View
	Gossiper *Gossiper
}

// Exchange implements the Peers service.
func (s Service) Exchange(_ context.Context, in *wire.PeerState) (*wire.PeerState, error) {
	if s.View.Learn(in, time.Time{}) {
		s.Gossiper.Pull(in.GetHeader().GetInstance())
	}
	return s.View.State(in), nil
}

// EndTenure implements the Peers service.
func (s Service) EndTenure(_ context.Context, in *wire.EndTenureRequest) (*wire.EndTenureResponse, error) {
	s.View.EndTenure(in.GetToken())
	return &wire.EndTenureResponse{Header: in.GetHeader(), Instance: s.Name}, nil
}

// Permit implements the Peers service.
func (s Service) Permit(_ context.Context, in *wire.PermitRequest) (*wire.PermitResponse, error) {
	attendance := s.Gossiper.detector
	if in.GetInstance() == "" {
		// The question is whether this instance lives.
		return &wire.PermitResponse{}, nil
	}
	attendance.Heartbeat(in.GetInstance())
	attendance.RecordReported(in.GetLost())
	resp := s.View.Leases()
	if len(resp.GetPermits()) > 0 {
		resp.Lost = attendance.Failed()
	}
	return resp, nil
}
