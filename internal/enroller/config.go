package enroller

import (
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/recorder"
)

// Defaults of [Config], from section 4.9 of the design page where it states
// them.
const (
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultFailureTimeout    = 700 * time.Millisecond
	DefaultPlatformInterval  = time.Second
	DefaultMaxMembers        = 64
)

const (
	// heartbeatTimeout leaves room for a second attempt within the alive
	// limit.
	heartbeatTimeout = 300 * time.Millisecond
	leaveTimeout     = 500 * time.Millisecond
	// checkInterval bounds how late a death is noticed after the alive limit.
	checkInterval = 50 * time.Millisecond
	// maxBackoff bounds the pause between attempts at a silent address.
	maxBackoff = 2 * time.Second
	// listInterval is the shortest time between two full lists to one peer
	// while nothing changes here. Views differ for long when two members
	// cannot reach each other but a third reaches both.
	listInterval = time.Second
	// unheardPeerTimeout is the time after which an address that was never heard
	// is dropped, and readmitLimit the time until a list may add it again.
	unheardPeerTimeout = 30 * time.Second
	readmitDelay       = 10 * time.Second
	// forgetTimeout is the time after which a silent member is forgotten.
	forgetTimeout = time.Minute
	warnInterval  = 5 * time.Second
)

// Config configures a [Roster].
type Config struct {
	// Self is this instance. Incarnation 0 is replaced by the wall time in
	// milliseconds.
	Self Member
	// Seeds are "host:port" addresses of drpc listeners that are always tried.
	Seeds []string
	// Dialer reaches the other members. It should not be shared with calls
	// that may occupy all its connections to one address.
	Dialer messenger.Dialer
	// PlatformURL is the base URL of the platform's list, without
	// "/v1/instances". Empty means that there is none.
	PlatformURL string
	// HTTPClient reaches the platform. Nil means a client that binds LocalIP.
	HTTPClient *http.Client
	// LocalIP is the source address of connections to the platform.
	LocalIP net.IP

	// HeartbeatInterval, AliveLimit, PlatformInterval and MaxMembers are
	// replaced by their defaults when they are 0.
	HeartbeatInterval time.Duration
	FailureTimeout    time.Duration
	PlatformInterval  time.Duration
	// MaxMembers bounds the members and candidates that are kept.
	MaxMembers int

	// Clock, Recorder, Registry and Log may be nil.
	Clock    clockwork.Clock
	Recorder *recorder.Recorder
	Registry metrics.Registry
	Log      logrus.FieldLogger
}

func (c Config) withDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.FailureTimeout == 0 {
		c.FailureTimeout = DefaultFailureTimeout
	}
	if c.PlatformInterval == 0 {
		c.PlatformInterval = DefaultPlatformInterval
	}
	if c.MaxMembers == 0 {
		c.MaxMembers = DefaultMaxMembers
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
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = uint64(c.Clock.Now().UnixMilli())
	}
	return c
}
