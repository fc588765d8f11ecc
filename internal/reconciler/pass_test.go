package reconciler

import (
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/informer/informertest"
	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/selector"
	"marigoldhub.example/hub/internal/storer/storertest"
)

// countingClock counts how often the time is read.
type countingClock struct {
	clockwork.Clock
	reads *atomic.Int64
}

func (c countingClock) Now() time.Time {
	c.reads.Add(1)
	return c.Clock.Now()
}

func (c countingClock) Since(t time.Time) time.Duration {
	c.reads.Add(1)
	return c.Clock.Since(t)
}

// Guards against work for all servers of the fleet in each pass, two to ten times a second: at 300
// instances and 2,600 servers it took 2.6 of 3.2 % of a processor, and a read of the clock is a
// system call. The number of servers of which an instance is a gateway does not grow.
func TestPassesDoNotGrowWithTheFleet(t *testing.T) {
	const serversPerInstance = 9
	for _, instances := range []int{30, 100, 300} {
		store, log := storertest.New(), logrus.New()
		log.SetOutput(io.Discard)
		var peers []placer.Peer
		for i := range instances {
			peers = append(peers, placer.Peer{Name: fmt.Sprint("i", i), Zone: fmt.Sprint("z", i%4), Address: fmt.Sprint("10.0.0.", i)})
			for j := range serversPerInstance {
				raw, _ := json.Marshal(informer.Server{Service: fmt.Sprint("s", i, "-", j/3), Address: "a", Zone: fmt.Sprint("z", j%4), Slots: 4, Born: 1})
				store.Put(fmt.Sprintf("backend/%d-%d", i, j), raw)
			}
		}
		clock := countingClock{clockwork.NewRealClock(), new(atomic.Int64)}
		n := informer.New(informer.Config{
			Store: store, Schema: informertest.Schema(), Clock: clockwork.NewRealClock(), Log: log, ListInterval: func() time.Duration { return time.Hour },
			LinearizableEvery: func() int { return 1 }, CheckInterval: func() time.Duration { return time.Hour }, OnChange: func() {},
		})
		t.Cleanup(n.Close)
		for !n.HasServerList() {
			time.Sleep(time.Millisecond)
		}
		r := New(Config{
			Informer: n, Instances: func() []placer.Peer { return peers }, InstancesKnown: func() bool { return true }, IsCoordinator: func() bool { return false },
			Selector: selector.New(selector.Config{Instance: "i0", Clock: clock, Log: log}), KeepListed: func(string, map[string]bool) {}, Clock: clock, Metrics: metrics.NewRegistry(), Log: log,
		})
		t.Cleanup(r.Close)
		r.started = time.Now().Add(-time.Hour)
		r.Reconcile()
		r.Reconcile()
		gateways := 0
		for _, b := range r.backends {
			if b.IsGateway() {
				gateways++
			}
		}
		if len(r.backends) != instances*serversPerInstance || gateways == 0 {
			t.Fatalf("%d instances: %d servers, a gateway of %d", instances, len(r.backends), gateways)
		}
		before := clock.reads.Load()
		r.Reconcile()
		if got, most := clock.reads.Load()-before, int64(10*gateways+10); got > most {
			t.Errorf("%d instances: the clock is read %d times in a pass without a change, want ten times for each of the %d servers that it is a gateway of at most", instances, got, gateways)
		}
		scheduled := 0
		for _, b := range r.backends {
			if b.IsScheduler(time.Now()) {
				scheduled++
			}
		}
		if got := len(r.Scheduled(time.Now())); got != scheduled || len(r.ranked) != gateways {
			t.Errorf("%d instances: schedules the work of %d servers among %d, want %d among %d", instances, got, len(r.ranked), scheduled, gateways)
		}
		// A change is seen: the instance becomes the only one.
		peers = peers[:1]
		r.Reconcile()
		for id, b := range r.backends {
			if b.Limit() != defaultConnections {
				t.Fatalf("%d instances: %d connections to %s after all others have left, want %d", instances, b.Limit(), id, defaultConnections)
			}
		}
	}
}
