package dispatcher

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/forwarder"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/placer"
)

// Forwarder runs a request at the gateway with the address.
type Forwarder interface {
	Forward(ctx context.Context, address string, r forwarder.Request) (forwarder.Reply, error)
}

// Config holds what a [Dispatcher] needs.
type Config struct {
	Zone     string
	Informer *informer.Informer
	Dialer   exchanger.Dialer
	// Instance is the name of this instance.
	Instance string
	// Instances returns all listed instances, this one included.
	Instances func() []placer.Peer
	// InstancesKnown reports whether the instances have been listed.
	InstancesKnown func() bool
	// InstancesChanged returns a channel that is closed when the list changes.
	InstancesChanged func() <-chan struct{}
	// Forwarder reaches the instances that hold connections to a server.
	Forwarder Forwarder
	// IsCoordinator reports whether this instance watches the primaries. It then asks
	// the servers over connections of its own.
	IsCoordinator func() bool
	// DrainLimit is how long a draining server accepts work at least.
	DrainLimit time.Duration
	// AskPeers is as in [attester.Config].
	AskPeers func()
	Clock    clockwork.Clock
	// TimeOfDay returns the wall-clock time, which may be wrong by seconds.
	TimeOfDay func() time.Time
	Metrics   metrics.Registry
	Log       logrus.FieldLogger
}
