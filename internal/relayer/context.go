package relayer

import (
	"context"
	"time"
)

// contextWithTimeout returns a context that does not end with the caller's
// connection: what was sent to a server is followed up even for a caller that
// vanished.
func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
