package connector

import (
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/observer"
)

// dialer counts the handshakes for teams as unanswered requests of the server. With
// teams, most requests to a server that has gone silent wait for a handshake, each for a
// shorter time than it takes to notice the silence.
type dialer struct {
	exchanger.Dialer
	exchanges *observer.Outstanding
	clock     clockwork.Clock
}

// Dial implements [exchanger.Dialer].
func (d dialer) Dial(t exchanger.Target, deadline time.Time) (exchanger.Conn, error) {
	if t.User != "" {
		defer d.exchanges.Begin(d.clock.Now())()
	}
	return d.Dialer.Dial(t, deadline)
}
