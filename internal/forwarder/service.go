package forwarder

import (
	"context"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// Runner runs requests on the connections of this instance.
type Runner interface {
	// RunForwarded runs another instance's request.
	RunForwarded(r Request) Reply
}

// Service serves the requests of other instances.
type Service struct{ Runner Runner }

// Forward implements the Gateways service of the wire protocol.
func (s Service) Forward(ctx context.Context, in *wire.ForwardRequest) (*wire.ForwardResponse, error) {
	r := decodeRequest(in)
	r.Left = ctx.Done()
	return encodeReply(s.Runner.RunForwarded(r)), nil
}
