package messenger

import (
	"context"

	"storj.io/drpc"
)

// Dialer returns connections to the drpc listeners of other instances. The
// connections are cached per address and must not be closed by callers. Every
// call made on them is bounded by its own context.
type Dialer interface {
	Dial(ctx context.Context, address string) (drpc.Conn, error)
}
