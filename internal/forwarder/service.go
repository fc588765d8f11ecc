package forwarder

import (
	"context"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// Runner runs requests on this instance's connections.
type Runner interface {
	RunForwarded(r Request) Reply
}

// Service answers other instances.
type Service struct{ Runner Runner }

// Forward implements the Gateways service.
func (s Service) Forward(_ context.Context, in *wire.ForwardRequest) (*wire.ForwardResponse, error) {
	return encodeReply(s.Runner.RunForwarded(decodeRequest(in))), nil
}
