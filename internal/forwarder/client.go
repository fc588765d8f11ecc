package forwarder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
)

// ErrNotSent means that the gateway was not reached; nothing was run.
var ErrNotSent = errors.New("gateway was not reached")

// replyMargin is added to the limit of an exchange for the way to the gateway
// and back, so that the gateway's own time-out is heard.
const replyMargin = 30 * time.Millisecond

// Client sends requests to gateways.
type Client struct{ Dialer messenger.Dialer }

// Forward runs the request at the gateway with the address. Nothing is known of a
// request whose context ends first.
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
