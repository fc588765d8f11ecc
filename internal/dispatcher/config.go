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
	"marigoldhub.example/hub/internal/tracker"
)

// Forwarder sends requests to gateways.
type Forwarder interface {
	// Forward runs the request at the gateway with the address.
	Forward(ctx context.Context, address string, r forwarder.Request) (forwarder.Reply, error)
}

// Config holds what a [Dispatcher] needs.
type Config struct {
	// Zone is the availability zone of this instance.
	Zone string
	// Informer provides the list of servers and the configuration.
	Informer *informer.Informer
	// Dialer opens connections to servers.
	Dialer exchanger.Dialer
	// Instance is the name of this instance.
	Instance string
	// Instances returns all listed instances, this one included.
	Instances func() []placer.Peer
	// InstancesKnown reports whether the list of instances has been received.
	InstancesKnown func() bool
	// InstancesChanged returns a channel that is closed when the list changes.
	InstancesChanged func() <-chan struct{}
	// Seeds are instances that all others know from the beginning; some may be gone.
	Seeds []placer.Peer
	// Forwarder reaches the gateways.
	Forwarder Forwarder
	// IsCoordinator reports whether this instance is the coordinator, which watches
	// the primaries. It then queries the servers over its own connections.
	IsCoordinator func() bool
	// DrainLimit is how long a draining server at least goes on accepting work,
	// as the servers guarantee. This instance stops sending it new work well before.
	DrainLimit time.Duration
	// WaitAt returns how long requests wait at a server, as its gateway reports it; nil
	// if there are no reports.
	WaitAt func(server string) time.Duration
	// PositionAt returns the position of a replica that is behind, as its gateway reports
	// it, and when it had it; nil if there are no reports.
	PositionAt func(server string) (tracker.Position, time.Time, bool)
	// OtherZoneCost is the time that a read in another availability zone must save to
	// leave its own; 0 means [placer.DefaultOtherZoneCost].
	OtherZoneCost time.Duration
	// AskPeers exchanges views with other instances; see [attester.Config].
	AskPeers func()
	Clock    clockwork.Clock
	// TimeOfDay returns the wall-clock time, which may be wrong by seconds.
	TimeOfDay func() time.Time
	Metrics   metrics.Registry
	Log       logrus.FieldLogger
}
