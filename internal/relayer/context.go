package relayer

import (
	"context"
	"time"
)

// detachedContext returns a context that does not end with the caller's
// connection, because what was sent to a server must be finished even if the
// caller has disconnected.
func detachedContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
