package gossiper

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/registrar"
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
	if hasRecords(state) && !s.Gossiper.transfers.allow(proto.Size(state)) {
		return withoutRecords(state, in.GetConfigurationVersion() > 0), nil
	}
	return state, nil
}

// withoutRecords removes the configuration and the list of servers from an answer; the caller sees
// that its own are older and asks again. The instances stay, so that the caller can ask others
// of them. The services stay if the caller has a configuration: it cannot use them without.
func withoutRecords(s *wire.PeerState, hasConfiguration bool) *wire.PeerState {
	s.Configuration = nil
	s.Servers = slices.DeleteFunc(s.Servers, func(e *wire.ServerEntry) bool { return !isInstance(e) })
	if !hasConfiguration {
		s.Services = nil
	}
	return s
}

// hasRecords reports whether the message has a configuration or a list of servers.
func hasRecords(s *wire.PeerState) bool {
	isServer := func(e *wire.ServerEntry) bool { return !isInstance(e) }
	return len(s.GetConfiguration()) > 0 || slices.ContainsFunc(s.GetServers(), isServer)
}

func isInstance(e *wire.ServerEntry) bool { return strings.HasPrefix(e.GetKey(), registrar.Prefix) }

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
