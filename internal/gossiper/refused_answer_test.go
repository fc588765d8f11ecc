package gossiper

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/registrar"
)

// fullView answers with all kinds of records.
type fullView struct{ View }

func (fullView) Learn(*wire.PeerState, time.Time) bool { return false }

func (fullView) State(*wire.PeerState) *wire.PeerState {
	return &wire.PeerState{
		Header: &wire.Header{Instance: "busy"}, ConfigurationVersion: 9, Configuration: bytes.Repeat([]byte{9}, 100_000),
		Servers:  []*wire.ServerEntry{{Key: "backend/s", Value: []byte("{}")}, {Key: registrar.Prefix + "other", Value: []byte("{}")}},
		Services: []*wire.ServiceView{{Service: "s", Primary: "p"}},
	}
}

// Guards against refused answers that fill the link, and against ones that leave an instance
// which has just started with only the same few to ask.
func TestRefusedAnswer(t *testing.T) {
	g := &Gossiper{ctx: t.Context(), transfers: newTransferLimiter(100_000, clockwork.NewFakeClock())}
	s := Service{View: fullView{}, Gossiper: g}
	for _, tc := range []struct {
		name                        string
		version                     int64
		records, instance, services int
	}{
		{"sent", 0, 1, 1, 1},
		{"refused without a configuration", 0, 0, 1, 0},
		{"refused with an older one", 8, 0, 1, 1},
	} {
		got, err := s.Exchange(context.Background(), &wire.PeerState{ConfigurationVersion: tc.version})
		if err != nil {
			t.Fatal(err)
		}
		records, instances := 0, 0
		for _, e := range got.GetServers() {
			if e.GetKey() == "backend/s" {
				records++
			} else {
				instances++
			}
		}
		if (len(got.GetConfiguration()) > 0) != (tc.records > 0) || records != tc.records || instances != tc.instance || len(got.GetServices()) != tc.services {
			t.Errorf("%s: %d bytes of the configuration, %d servers, %d instances, %d services, want %+v", tc.name, len(got.GetConfiguration()), records, instances, len(got.GetServices()), tc)
		}
	}
}

// Guards against an instance without a configuration that waits for its next regular exchange
// after each busy instance.
func TestNextExchangeAfterARefusal(t *testing.T) {
	first, a := serveState(t, &wire.PeerState{ConfigurationVersion: 9})
	second, b := serveState(t, &wire.PeerState{ConfigurationVersion: 9})
	g := newPuller(t, &versionView{}, a, b)
	clock := clockwork.NewFakeClock()
	g.cfg.Clock = clock
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	const pauses = 5
	for i := range pauses + 1 {
		waiting, stop := context.WithTimeout(ctx, 5*time.Second)
		err := clock.BlockUntilContext(waiting, 1)
		stop()
		if err != nil {
			t.Fatalf("pause %d does not begin: %v", i, err)
		}
		if i < pauses {
			clock.Advance(max(firstExchangeJitter, 2*pullPause))
		}
	}
	m, n := first.asked.Load(), second.asked.Load()
	if m+n != pauses || max(m, n)-min(m, n) > 1 {
		t.Errorf("%d and %d exchanges after %d pauses, want one after each, in turn", m, n, pauses)
	}
}
