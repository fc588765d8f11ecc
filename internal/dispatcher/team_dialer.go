package dispatcher

import (
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/exchanger"
)

// teamDialer counts the handshakes for teams as unanswered requests of the server. With
// teams, most requests to a server that has gone silent wait for a handshake, each for a
// shorter time than it takes to notice the silence.
type teamDialer struct {
	exchanger.Dialer
	backend *backend
	clock   clockwork.Clock
}

// Dial implements [exchanger.Dialer].
func (d teamDialer) Dial(t exchanger.Target, deadline time.Time) (exchanger.Conn, error) {
	if t.User != "" {
		defer d.backend.Exchanges.Begin(d.clock.Now())()
	}
	return d.Dialer.Dial(t, deadline)
}
