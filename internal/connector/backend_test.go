package connector_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
)

// dialer opens connections that are never used.
type dialer struct{}

func (dialer) Dial(exchanger.Target, time.Time) (exchanger.Conn, error) { return idleConn{}, nil }

type idleConn struct{ exchanger.Conn }

func (idleConn) Close() error { return nil }

// Guards against a server to which no connection can be opened that is reported with a wait
// next to nothing: callers would take it for the one with the most room.
func TestWaitWithoutAConnection(t *testing.T) {
	for _, tc := range []struct {
		name string
		// max is how many connections may be open; held are in use.
		max, held int
		hasWait   bool
	}{
		{"none may be opened", 0, 0, false},
		{"all are in use", 1, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			b := connector.New(connector.Config{
				Server: informer.Server{ID: "a"}, Limits: linker.Limits{Max: tc.max, Preferred: tc.max},
				Dialer: dialer{}, OnDial: func(linker.Dial) {}, Clock: clock,
			})
			b.Observe(clock.Now(), 10*time.Millisecond, exchanger.Success, nil)
			in := func(d time.Duration) connector.Request {
				return connector.Request{WaitDeadline: clock.Now().Add(d), Remaining: time.Minute, Due: clock.Now().Add(time.Minute)}
			}
			for range tc.held {
				c, err := b.AcquireOutOfSlot(in(5 * time.Second))
				if err != nil {
					t.Fatal(err)
				}
				defer b.Pool.Release(c, true)
			}
			_, _, err := b.AcquireInSlot(clock.Now(), in(50*time.Millisecond))
			if !errors.Is(err, connector.ErrOverloaded) || !errors.Is(err, linker.ErrNoConn) {
				t.Fatalf("%v, want an overload without a connection", err)
			}
			var o connector.Overload
			if ok := errors.As(err, &o); ok != tc.hasWait || ok && o.Wait < time.Millisecond {
				t.Errorf("wait %v reported: %v, want %v", o.Wait, ok, tc.hasWait)
			}
		})
	}
}
