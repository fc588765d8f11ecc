package pooler

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/tracker"
)

// Limits of section 4.6 of the design page.
const (
	// ReservedConnections of each server's limit belong to monitors.
	ReservedConnections = 2
	// QueueLimit bounds the waiting requests per group and instance.
	QueueLimit = 256
	// QueueDeadline bounds the waiting time.
	QueueDeadline = 2 * time.Second
	// MaxOpening bounds concurrent opens per server and instance.
	MaxOpening = 2
	// GrantDuration is counted on the receiver's monotonic clock from the
	// time at which its request was sent.
	GrantDuration = 3 * time.Second
	// MaxUngrantedInstances is the number of instances that may hold connections
	// without any grant.
	MaxUngrantedInstances = 8
)

const (
	// startHold lets an instance that is new or was paused ask the monitor
	// first: the others may hold everything until they have reported and
	// shrunk.
	startHold = time.Second
	// pauseSign is the delay in noticing an expired grant from which on this
	// process counts as paused.
	pauseSign      = 500 * time.Millisecond
	connectTimeout = time.Second
	writeTimeout   = 5 * time.Second
	cancelTimeout  = 2 * time.Second
	closeTimeout   = 100 * time.Millisecond
	openJitter     = 10 * time.Millisecond
	minOpenBackoff = 50 * time.Millisecond
	maxOpenBackoff = time.Second
	// idleTimeout closes idle connections beyond the warm one.
	idleTimeout      = time.Minute
	maintainInterval = 100 * time.Millisecond
	peekInterval     = time.Second
	// primaryLeavingGrace lets a planned change of primary finish before new
	// work is refused. It is below the 3 s of promise 7 by more than one poll
	// of the platform's list.
	primaryLeavingGrace = 1500 * time.Millisecond
	// maxStatements bounds the prepared statements kept on one connection;
	// trimmedStatements remain when the bound is passed.
	maxStatements     = 512
	trimmedStatements = 384
	trimTimeout       = time.Second
)

// UngrantedConnections returns the number of connections that an instance may hold to a
// server with the given connection limit while it has no grant.
func UngrantedConnections(connectionLimit int) int {
	return max((connectionLimit-ReservedConnections)/MaxUngrantedInstances, 1)
}

// Granter divides the connections of a group. The divider of this instance
// implements it.
type Granter interface {
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
	// Granter answers for the groups that this instance monitors. Without one
	// the instance keeps its ungranted share of these groups.
	Granter Granter
	// ServerLeaving reports the platform's leaving mark. It may be nil.
	ServerLeaving func(server string) bool
	// Password reads a password file. It may be nil when no group has one.
	Password func(path string) (string, error)
	// TLS returns the configuration for groups whose server_tls is
	// "verify-full". An empty ServerName is replaced by the server's IP
	// number.
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
