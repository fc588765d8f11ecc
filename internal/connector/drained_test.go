package connector_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/linker"
)

// Guards against new work of callers at a draining server after the time for which it
// accepts work at least, also if the work has waited since before, and against an instance that
// cannot ask or command such a server any more.
func TestDrainedServerGetsNoNewWork(t *testing.T) {
	const limit = 10 * time.Second
	for _, tc := range []struct {
		name     string
		draining bool
		// after is how long before the request the server was not draining yet; 0 means that
		// this is not known.
		after time.Duration
		isOwn bool
		want  error
	}{
		{"not draining", false, 0, false, nil},
		{"draining for a moment", true, time.Second, false, nil},
		{"draining for too long", true, limit, false, connector.ErrDrained},
		{"draining for too long when the request arrives", true, limit - 100*time.Millisecond, false, connector.ErrDrained},
		{"draining for an unknown time", true, 0, false, connector.ErrDrained},
		{"statement of the instance itself", true, limit, true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			now := clock.Now()
			srv := informer.Server{ID: "a", Draining: tc.draining}
			if tc.after > 0 {
				srv.DrainingAfter = now.Add(-tc.after)
			}
			b := connector.New(connector.Config{
				Server: srv, Limits: linker.Limits{Max: 2, Preferred: 2}, Dialer: dialer{}, DrainLimit: limit, OnDial: func(linker.Dial) {}, Clock: clock,
			})
			r := connector.Request{IsOwn: tc.isOwn, WaitDeadline: now.Add(time.Minute), Remaining: time.Minute, Due: now.Add(time.Minute)}
			_, _, err := b.AcquireInSlot(now, r)
			if !errors.Is(err, tc.want) {
				t.Errorf("in a slot: %v, want %v", err, tc.want)
			}
			if _, err := b.AcquireOutOfSlot(r); !errors.Is(err, tc.want) {
				t.Errorf("out of a slot: %v, want %v", err, tc.want)
			}
		})
	}
}

// Guards against requests that wait for a slot or a connection of a draining server for longer
// than it accepts work.
func TestRequestsDoNotWaitForADrainedServer(t *testing.T) {
	const limit = 10 * time.Second
	for _, tc := range []struct {
		name  string
		slots int
	}{
		{"for a slot", 1},
		{"for a connection", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			srv := informer.Server{ID: "a", Slots: tc.slots}
			b := connector.New(connector.Config{
				Server: srv, Limits: linker.Limits{Max: 1, Preferred: 1}, Dialer: dialer{}, DrainLimit: limit, OnDial: func(linker.Dial) {}, Clock: clock,
			})
			in := func(d time.Duration) connector.Request {
				return connector.Request{WaitDeadline: clock.Now().Add(d), Remaining: time.Minute, Due: clock.Now().Add(time.Minute)}
			}
			if _, _, err := b.AcquireInSlot(clock.Now(), in(time.Minute)); err != nil {
				t.Fatal(err)
			}
			// It accepts work for 200 ms from now on.
			srv.Draining, srv.DrainingAfter = true, clock.Now().Add(500*time.Millisecond-limit)
			b.SetEntry(srv)
			result := make(chan error, 1)
			go func() {
				_, _, err := b.AcquireInSlot(clock.Now(), in(time.Minute))
				result <- err
			}()
			select {
			case err := <-result:
				if err == nil {
					t.Error("the request got the slot of another one")
				}
			case <-time.After(5 * time.Second):
				t.Error("the request waits although the server is leaving")
			}
		})
	}
}
