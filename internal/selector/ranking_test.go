package selector

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/forwarder"
)

// switchedForwarder reaches gateways while it is on.
type switchedForwarder struct{ isOn atomic.Bool }

func (f *switchedForwarder) Forward(context.Context, string, forwarder.Request) (forwarder.Reply, error) {
	if f.isOn.Load() {
		return forwarder.Reply{}, nil
	}
	return forwarder.Reply{}, errors.New("unreachable")
}

func newSelector(t *testing.T, f Forwarder) *Selector {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	return New(Config{Instance: "B", Forwarder: f, Stop: stop, Clock: clockwork.NewRealClock(), Log: log})
}

// Guards against requests that go to a gateway which is lost or no gateway, although another
// one is well, and against a server without any when all of them are avoided.
func TestChooseGateway(t *testing.T) {
	for _, tc := range []struct {
		name  string
		avoid func(s *Selector, g []*Gateway)
		want  int
	}{
		{"all are well", func(*Selector, []*Gateway) {}, 0},
		{"the first is lost", func(s *Selector, g []*Gateway) { s.MarkLost(g[0], io.EOF) }, 1},
		{"the first is reported not to answer", func(s *Selector, _ []*Gateway) { s.MarkUnreachable([]string{"A"}) }, 1},
		{"the first is no gateway", func(_ *Selector, g []*Gateway) { g[0].AvoidUntil(time.Now().Add(time.Minute)) }, 1},
		{"the first leaves a request unanswered", func(_ *Selector, g []*Gateway) { g[0].Begin(time.Now().Add(-time.Second)) }, 1},
		{"this instance stops, too", func(s *Selector, g []*Gateway) { s.MarkLost(g[0], io.EOF); s.LeaveGateways() }, 2},
		{"all are avoided", func(s *Selector, g []*Gateway) {
			s.LeaveGateways()
			s.MarkUnreachable([]string{"A", "C"})
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSelector(t, &switchedForwarder{})
			var r Ranking
			chosen := peers(3)
			r.SetGateways(s.Gateways(chosen), s.Rank(chosen))
			if !r.IsGateway() || r.rank != 1 {
				t.Fatalf("rank %d, want 1", r.rank)
			}
			tc.avoid(s, r.all())
			if got := r.ChooseGateway(time.Now(), nil); got != r.all()[tc.want] {
				t.Errorf("chose %v, want %v", got.Peer(), chosen[tc.want])
			}
			if got := r.ChooseGateway(time.Now(), r.all()); got != nil {
				t.Errorf("chose %v although all were tried", got.Peer())
			}
		})
	}
}

// Guards against a lost gateway that is never used again, and against requests that wait for
// an answer of one that is lost.
func TestLostGatewayComesBack(t *testing.T) {
	f := &switchedForwarder{}
	s := newSelector(t, f)
	g := s.Gateways(peers(1))[0]
	ctx, cancel := g.ContextUntilLost(nil)
	defer cancel()
	s.MarkLost(g, io.EOF)
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("a request still waits for the lost gateway")
	}
	if !g.isAvoided(time.Now()) {
		t.Error("the lost gateway is not avoided")
	}
	f.isOn.Store(true)
	for deadline := time.Now().Add(10 * time.Second); g.isAvoided(time.Now()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the gateway answers and is still avoided")
		}
	}
}

// Guards against a server without gateways, as before its first ranking, of which this
// instance takes itself for a gateway.
func TestRankingWithoutGateways(t *testing.T) {
	var r Ranking
	if r.IsGateway() || r.UsesGateways() {
		t.Errorf("gateway: %v, uses gateways: %v, want neither", r.IsGateway(), r.UsesGateways())
	}
}
