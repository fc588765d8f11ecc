package throttler

import (
	"context"

	"marigoldhub.example/hub/internal/allocator"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/placer"
)

// PeerClient is a [Client] that reaches other instances through a dialer.
type PeerClient struct {
	// Instance is the name of this instance, whose allocator is called directly.
	Instance  string
	Allocator *allocator.Allocator
	Dialer    messenger.Dialer
}

// Acquire implements [Client].
func (c PeerClient) Acquire(ctx context.Context, p placer.Peer, in *wire.QuotaRequest) (*wire.QuotaResponse, error) {
	if p.Name == c.Instance {
		return c.Allocator.Acquire(ctx, in)
	}
	conn, err := c.Dialer.Dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCQuotasClient(conn).Acquire(ctx, in)
}
