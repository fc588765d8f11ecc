package attempter

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/observer"
	"marigoldhub.example/hub/internal/placer"
)

// Guards against callers who are told to return after their timeout because the primary,
// which is asked about once a second, had last answered long before a short fault, or because it
// is not known how long it has been leaving.
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
		{"leaving for an unknown time", connector.ErrDrained, 0, observer.StallTimeout},
	} {
		b := connector.New(connector.Config{Server: informer.Server{ID: "a", Draining: true}, Clock: clockwork.NewFakeClockAt(now)})
		b.RecordAnswer(now.Add(-3 * time.Second))
		if tc.pending > 0 {
			b.Exchanges.Begin(now.Add(-tc.pending))
		}
		if got := estimatesAt(now, b, tc.err, 0); len(got) != 1 || got[0] != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against callers of a leaving primary who are told to return at once, all together, for
// as long as no other one leads.
func TestEstimateOfALeavingPrimary(t *testing.T) {
	const limit = 7 * time.Second
	now := time.Unix(90, 0)
	srv := informer.Server{ID: "a", Draining: true, DrainingAfter: now.Add(-limit)}
	b := connector.New(connector.Config{Server: srv, DrainLimit: limit, Clock: clockwork.NewFakeClockAt(now)})
	at, draining := b.DrainedAt()
	if !draining || !at.Before(now) {
		t.Fatalf("leaves at %v, draining: %v, want before %v", at, draining, now)
	}
	for _, since := range []time.Duration{time.Second, 2 * time.Second} {
		if got := estimatesAt(at.Add(since), b, errors.Join(ErrNotSent, connector.ErrDrained), 0); len(got) != 1 || got[0] != since {
			t.Errorf("%v after the end: %v, want as long again", since, got)
		}
	}
}

// Guards against places that are taken for callers who have left and do not return.
func TestCallersThatLeftTakeNoPlaces(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want int
	}{
		{"the caller waits", connector.ErrOverloaded, 1},
		{"the caller has left", errors.Join(ErrNotSent, connector.ErrCallerLeft), 0},
	} {
		log := logrus.New()
		log.SetOutput(io.Discard)
		a := New(Config{
			Instances: func() []placer.Peer { return nil }, Clock: clockwork.NewFakeClockAt(time.Unix(9, 0)),
			Metrics: metrics.NewRegistry(), Log: log,
		})
		req := Request{Route: informer.Route{StatementTimeout: time.Second}, Received: time.Unix(9, 0)}
		a.RefuseWithTime(req, "test", tc.err, nil, 100*time.Millisecond)
		if n := len(a.returns.byKey); n != tc.want {
			t.Errorf("%s: places at %d services, want %d", tc.name, n, tc.want)
		}
	}
}
