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

// Backends is access to the backend servers through this instance's connections.
type Backends interface {
	attester.Prober
	// Group returns the service's leader and its proofs.
	Group(service string) *attester.Group
	// Health returns when the server last answered, and how many attempts to
	// reach it failed since.
	Health(serverID string) (answered time.Time, failures int)
	// PendingSince returns the start of the oldest unanswered write at the server;
	// false if there is none.
	PendingSince(serverID string) (time.Time, bool)
	// LastBehind returns when the server last refused a read because it had not
	// applied the position that the read requires.
	LastBehind(serverID string) time.Time
}

// Promoter calls the platform that the servers run on (see package platform) to
// promote one of them.
type Promoter interface {
	// Promote makes the server the primary of the service. Coordinator is the name of
	// the instance that asks. Token is the fencing token of its tenure (see package
	// holder), by which the platform refuses calls of an earlier coordinator. After an error
	// other than [ErrRefused] the call may take effect.
	Promote(ctx context.Context, service, server, coordinator string, token int64) error
}

// Election tells whether this instance is the coordinator.
type Election interface {
	// Token returns the fencing token if this instance is the coordinator and may
	// act now.
	Token() (int64, bool)
	// IsCoordinator reports whether this instance is the coordinator, even if it may
	// not act yet.
	IsCoordinator() bool
	// Yield leaves the coordinator role to another instance.
	Yield()
}

// Peers are the other instances.
type Peers interface {
	// Broadcast exchanges state with all other instances and returns how many could
	// not be reached.
	Broadcast(ctx context.Context) (unreached int)
	// Acknowledged returns the highest position of the service that any instance
	// is known to have seen acknowledged.
	Acknowledged(service string) tracker.Position
}

// Config holds what a [Replacer] needs.
type Config struct {
	// Name is this instance's name.
	Name     string
	Informer *informer.Informer
	Backends Backends
	Promoter Promoter
	Election Election
	Peers    Peers
	// PrimaryLeaseTTL is how long a primary lease holds.
	PrimaryLeaseTTL time.Duration
	Clock           clockwork.Clock
	Metrics         metrics.Registry
	Log             logrus.FieldLogger
}

// commandNames are the names of commands in log lines.
var commandNames = map[exchanger.Kind]string{
	exchanger.Status: "status", exchanger.Pause: "pause", exchanger.Resume: "resume", exchanger.StepDown: "step_down",
}
