package connector

import (
	"errors"

	"marigoldhub.example/hub/internal/exchanger"
)

// Exchange runs statements on a connection to the server and records how the
// server answered. Failures of a gateway do not count against the server.
func (b *Backend) Exchange(c Conn, isWrite bool, run func() ([]exchanger.Answer, error)) ([]exchanger.Answer, error) {
	began := b.clock.Now()
	defer b.Exchanges.Begin(began)()
	if isWrite {
		defer b.Writes.Begin(began)()
	}
	answers, err := run()
	now := b.clock.Now()
	if wait, ok := c.SlotWait(); ok {
		began = began.Add(wait)
		if err == nil && len(answers) > 0 {
			b.ObserveWait(now, wait)
		}
	}
	switch {
	case err == nil:
		b.Observe(now, now.Sub(began), answers[0].Code, nil)
	case len(answers) == 0 && !errors.Is(err, ErrGateway):
		b.Observe(now, 0, exchanger.Success, err)
	}
	return answers, err
}
