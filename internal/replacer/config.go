package replacer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/tracker"
)

// Backends is what a [Replacer] sees and does through this instance's connections.
type Backends interface {
	attester.Prober
	Group(service string) *attester.Group
	// Health returns when the server last answered, and how many attempts to
	// reach it failed since.
	Health(serverID string) (answered time.Time, failures int)
	// PendingSince returns the start of the oldest write at the server that is
	// not answered; false if there is none.
	PendingSince(serverID string) (time.Time, bool)
	// LastBehind returns when the server last refused a read because its log did not
	// cover the read's position.
	LastBehind(serverID string) time.Time
}

// Promoter makes the platform promote a server.
type Promoter interface {
	Promote(ctx context.Context, service, server, holder string, token int64) error
}

// Election tells whether this instance may act.
type Election interface {
	// Token returns the fencing token if the instance may act right now.
	Token() (int64, bool)
	IsCoordinator() bool
	// Yield leaves the duty to another instance.
	Yield()
}

// Peers are the other instances.
type Peers interface {
	// Broadcast exchanges views with all other instances. It returns how many were out of reach.
	Broadcast(ctx context.Context) (unreached int)
	// Acknowledged returns the highest position of the service that any
	// instance is known to have seen acknowledged.
	Acknowledged(service string) tracker.Position
}

// Config holds what a [Replacer] needs.
type Config struct {
	Name     string
	Informer *informer.Informer
	Backends Backends
	Promoter Promoter
	Election Election
	Peers    Peers
	// PrimaryLeaseTTL is how long a promise holds.
	PrimaryLeaseTTL time.Duration
	Clock           clockwork.Clock
	Metrics         metrics.Registry
	Log             logrus.FieldLogger
}

// statement kinds that a replacement sends, for its log lines.
var commandNames = map[exchanger.Kind]string{
	exchanger.Status: "status", exchanger.Pause: "pause", exchanger.Resume: "resume", exchanger.StepDown: "step_down",
}
