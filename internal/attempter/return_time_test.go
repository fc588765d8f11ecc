package attempter

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/observer"
)

// Guards against callers who are told to return after their timeout because the primary,
// which is asked about once a second, had last answered long before a short fault.
func TestEstimatesRestOnTheFault(t *testing.T) {
	ms := time.Millisecond
	now := time.Unix(9, 0)
	for _, tc := range []struct {
		name string
		err  error
		// pending is the age of the oldest unanswered request; 0 if there is none.
		pending, want time.Duration
	}{
		{"silent, noticed here", connector.ErrSilent, 400 * ms, 400 * ms},
		{"silent, noticed by a gateway", connector.ErrSilent, 0, observer.StallTimeout},
		{"silent before a statement was sent", errors.Join(ErrNotSent, connector.ErrSilent), 400 * ms, 400 * ms},
		{"not sent", ErrNotSent, 0, observer.AvoidAfterRefusal},
		{"not confirmed", attester.ErrNotConfirmed, 0, observer.StallTimeout},
	} {
		b := connector.New(connector.Config{Server: informer.Server{ID: "a"}, Clock: clockwork.NewFakeClockAt(now)})
		b.RecordAnswer(now.Add(-3 * time.Second))
		if tc.pending > 0 {
			b.Exchanges.Begin(now.Add(-tc.pending))
		}
		if got := estimatesAt(now, b, tc.err, 0); len(got) != 1 || got[0] != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
