package attester_test

import (
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger/exchangertest"
)

// Guards against callers who are told to return by an outage that is over, or by one that
// has lasted for a time that nobody measured.
func TestOutage(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := exchangertest.New("a", "b")
	// The search for a primary finds none.
	for _, id := range []string{"a", "b"} {
		c.SetDown(id, true)
	}
	servers := c.Servers()
	g := attester.NewGroup(attester.Config{
		Service: exchangertest.Service, Prober: clusterProber{Cluster: c}, AskPeers: func() {}, Clock: clock, Log: log, Servers: c.Servers,
	})
	lead := func(term uint64) { g.Learn(attester.Leader{Server: servers[0], Term: term}, "test") }
	check := func(name string, elapsed, usual time.Duration, isMissing bool) {
		t.Helper()
		e, u, ok := g.Outage()
		if e != elapsed || u != usual || ok != isMissing {
			t.Errorf("%s: %v, usually %v, %v; want %v, %v, %v", name, e, u, ok, elapsed, usual, isMissing)
		}
	}
	check("before the first search", 0, 0, true)
	lead(1)
	check("a primary is known", 0, 0, false)
	g.Suspect("a", "test")
	clock.Advance(time.Second)
	check("first outage", time.Second, 0, true)
	lead(2)
	check("after it", 0, 0, false)
	g.Suspect("a", "test")
	clock.Advance(200 * time.Millisecond)
	check("second outage", 200*time.Millisecond, time.Second, true)
	clock.Advance(1800 * time.Millisecond)
	lead(3)
	g.Suspect("a", "test")
	check("third outage", 0, 1300*time.Millisecond, true)
}
