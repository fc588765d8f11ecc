package pooler

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/tracker"
)

// Limits of section 4.6 of the design page.
const (
	// ReservedConnections is the part of each server's connection limit that is
	// reserved for monitors.
	ReservedConnections = 2
	// QueueLimit is the largest number of waiting requests per group and
	// instance.
	QueueLimit = 256
	// QueueDeadline is the longest time that a request waits.
	QueueDeadline = 2 * time.Second
	// MaxOpening is the number of connections per server that one instance opens
	// concurrently.
	MaxOpening = 2
	// GrantDuration is the longest lifetime of a grant. It is counted on the receiver's
	// monotonic clock from the time at which the request was sent.
	GrantDuration = 3 * time.Second
	// MaxUngrantedInstances is the number of instances that may have connections
	// to a server without a grant. Each gets an equal share of the limit.
	MaxUngrantedInstances = 8
)

const (
	// ungrantedDelay is the time for which an instance that is new or was paused
	// opens nothing without a grant, so that it asks the monitor first. The
	// other instances may use the whole limit until they have reported and
	// closed their surplus connections.
	ungrantedDelay = time.Second
	// pauseThreshold is how late an expired grant must be noticed for this
	// process to count as paused.
	pauseThreshold = 500 * time.Millisecond
	connectTimeout = time.Second
	writeTimeout   = 5 * time.Second
	cancelTimeout  = 2 * time.Second
	closeTimeout   = 100 * time.Millisecond
	openJitter     = 10 * time.Millisecond
	minOpenBackoff = 50 * time.Millisecond
	maxOpenBackoff = time.Second
	// idleTimeout is the time after which idle connections are closed, except
	// the most recently used one.
	idleTimeout       = time.Minute
	maintainInterval  = 100 * time.Millisecond
	idleCheckInterval = time.Second
	// primaryLeavingGrace is the time for which a leaving primary still gets new
	// work, so that a planned change of primary can finish. A leaving server
	// must get no new work after 3 s (promise 7); the difference is more than
	// one poll of the platform's list.
	primaryLeavingGrace = 1500 * time.Millisecond
	// maxStatements is the largest number of prepared statements that are kept
	// on one connection. Above it, the least recently used ones are closed and
	// statementsAfterTrim remain.
	maxStatements       = 512
	statementsAfterTrim = 384
	trimTimeout         = time.Second
)

// UngrantedConnections returns the number of connections that an instance may
// have to a server with the given connection limit while it has no grant.
func UngrantedConnections(connectionLimit int) int {
	return max((connectionLimit-ReservedConnections)/MaxUngrantedInstances, 1)
}

// Granter divides the connections of a group among the instances. The divider of
// this instance implements it.
type Granter interface {
	// Grant answers the request of one instance.
	Grant(ctx context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error)
}

// Config configures a [Pool].
type Config struct {
	Catalog checker.CatalogSource
	// Views tells which server is primary and which replicas are leaving.
	Views tracker.ViewSource
	// Directory names the monitor of each group.
	Directory enroller.Directory
	// Dialer reaches the monitors of other instances.
	Dialer messenger.Dialer
	// Granter answers for the groups whose monitor is this instance. If it is
	// nil, this instance gets no grants for these groups.
	Granter Granter
	// Budget has the memory of long messages of servers. Nil means no limit.
	Budget *budgeter.Budget
	// ServerLeaving reports whether the platform's list marks a server as
	// leaving. It may be nil.
	ServerLeaving func(server string) bool
	// Password reads a password file. It may be nil when no group has one.
	Password func(path string) (string, error)
	// TLS returns the configuration for groups whose server_tls is
	// "verify-full". An empty ServerName is replaced by the server's IP
	// address.
	TLS func() *tls.Config
	// LocalIP is the source address of connections to servers. Nil lets the
	// system choose.
	LocalIP net.IP

	// Clock, Registry, Recorder and Log may be nil.
	Clock    clockwork.Clock
	Registry metrics.Registry
	Recorder *recorder.Recorder
	Log      logrus.FieldLogger
}

func (c Config) withDefaults() Config {
	if c.ServerLeaving == nil {
		c.ServerLeaving = func(string) bool { return false }
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}
