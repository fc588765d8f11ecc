package forwarder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// ErrNotSent means that the gateway was not reached and that nothing ran.
var ErrNotSent = errors.New("gateway was not reached")

// replyMargin is added to the timeout of an exchange for the network latency to
// the gateway and back, so that the gateway's own timeout is received.
const replyMargin = 30 * time.Millisecond

// Client sends requests to gateways.
type Client struct{ Dialer messenger.Dialer }

// Forward runs the request at the gateway with the address. If ctx ends first,
// the outcome is unknown.
func (c Client) Forward(ctx context.Context, address string, r Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+replyMargin)
	defer cancel()
	conn, err := c.Dialer.Dial(ctx, address)
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := wire.NewDRPCGatewaysClient(conn).Forward(ctx, encodeRequest(r))
	switch {
	case errors.Is(err, messenger.ErrNotConnected):
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		return Reply{}, fmt.Errorf("gateway %s: %w", address, err)
	}
	return decodeReply(resp), nil
}
