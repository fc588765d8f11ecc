package dispatcher_test

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

// Guards against a large fleet in which each instance opens connections of its own before it
// knows the others: only the seeds, which all know, are gateways then.
func TestSeedsAreGatewaysUntilInstancesAreListed(t *testing.T) {
	f := newFixture(t)
	net := &network{runners: map[string]forwarder.Runner{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var seedDials, dials atomic.Int32
	start := func(self placer.Peer, dialer exchanger.Dialer) *dispatcher.Dispatcher {
		d := dispatcher.New(dispatcher.Config{
			Zone: self.Zone, Informer: f.informer, Dialer: dialer, Instance: self.Name, Instances: func() []placer.Peer { return []placer.Peer{self} },
			InstancesKnown: func() bool { return false }, InstancesChanged: func() <-chan struct{} { return nil },
			Seeds:     []placer.Peer{{Name: "10.0.0.1", Address: "10.0.0.1"}, {Name: "10.0.0.2", Address: "10.0.0.2"}},
			Forwarder: net, IsCoordinator: func() bool { return false },
			AskPeers: func() {}, DrainLimit: time.Minute, Clock: clockwork.NewRealClock(), TimeOfDay: time.Now, Metrics: metrics.NewRegistry(), Log: log,
		})
		t.Cleanup(d.Close)
		return d
	}
	net.runners["10.0.0.2"] = start(placer.Peer{Name: "10.0.0.2", Address: "10.0.0.2"}, countingDialer{f.Cluster, &seedDials})
	other := start(placer.Peer{Name: "i1"}, countingDialer{f.Cluster, &dials})
	time.Sleep(20 * time.Millisecond)
	if a := other.Run(request("w", exchanger.Write, informer.PrimaryReads)); !a.OK() {
		t.Errorf("%v %s", a.Code, a.Text)
	}
	if seedDials.Load() == 0 || dials.Load() != 0 {
		t.Errorf("the seed opened %d connections, the other instance %d", seedDials.Load(), dials.Load())
	}
}
