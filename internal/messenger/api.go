package messenger

import (
	"context"

	"storj.io/drpc"
)

// Dialer returns clients of the drpc servers of other instances.
type Dialer interface {
	// Dial returns a connection to the instance at address, "host:port". It is
	// shared: callers must not close it, and bound each call by the call's own
	// context.
	Dial(ctx context.Context, address string) (drpc.Conn, error)
}
