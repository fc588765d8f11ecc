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

// Defaults of [Config]. Those that section 4.9 of the design page states are from
// there.
const (
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultFailureTimeout    = 700 * time.Millisecond
	DefaultPlatformInterval  = time.Second
	DefaultMaxMembers        = 64
)

const (
	// heartbeatTimeout allows a second attempt within the failure timeout.
	heartbeatTimeout = 300 * time.Millisecond
	// leaveTimeout bounds how long AnnounceLeave waits for answers.
	leaveTimeout = 500 * time.Millisecond
	// checkInterval bounds the delay between the end of the failure timeout and
	// the detection of a failed member.
	checkInterval = 50 * time.Millisecond
	// maxBackoff bounds the pause between attempts at an address that does not
	// answer.
	maxBackoff = 2 * time.Second
	// listInterval is the minimum time between two full member lists to one peer
	// while the list does not change. Two views differ for long when two members
	// cannot reach each other but a third reaches both; without this limit, the
	// third would exchange full lists with them in every heartbeat.
	listInterval = time.Second
	// unheardPeerTimeout is the time after which an address that has never
	// answered is dropped. A member list may add it again after readmitDelay.
	unheardPeerTimeout = 30 * time.Second
	readmitDelay       = 10 * time.Second
	// forgetTimeout is the silence after which a member and its address are
	// removed.
	forgetTimeout = time.Minute
	// warnInterval is the minimum time between two warnings about members.
	warnInterval = 5 * time.Second
)

// Config configures a [Membership].
type Config struct {
	// Self is this instance. Incarnation 0 is replaced by the wall time in
	// milliseconds.
	Self Member
	// Seeds are "host:port" addresses of drpc listeners. They are peers from the
	// start and are never dropped.
	Seeds []string
	// Dialer connects to the other members. It should not be shared with calls
	// that may use all of its connections to one address.
	Dialer messenger.Dialer
	// PlatformURL is the base URL of the platform's instance list, without
	// "/v1/instances". If empty, no list is read.
	PlatformURL string
	// HTTPClient reads the platform's list. If nil, a client that connects from
	// LocalIP is used.
	HTTPClient *http.Client
	// LocalIP is the source address of connections to the platform.
	LocalIP net.IP

	// HeartbeatInterval is the time between two heartbeats to a peer,
	// FailureTimeout the silence after which a member counts as failed, and
	// PlatformInterval the time between two reads of the platform's list. They
	// and MaxMembers are replaced by their defaults when they are 0.
	HeartbeatInterval time.Duration
	FailureTimeout    time.Duration
	PlatformInterval  time.Duration
	// MaxMembers bounds the number of members and the number of peers. Seeds
	// are added beyond it.
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
