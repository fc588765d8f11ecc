package distributor

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/messenger"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/storer"
)

// Mode selects how new envelopes reach the instance.
type Mode string

const (
	// ZoneWatcher is the normal mode: one instance per zone watches the store
	// and pushes to the others, and all instances compare digests.
	ZoneWatcher Mode = "zone_watcher"
	// EveryInstanceWatches is the baseline for experiments: every instance
	// watches the store, and instances neither push nor compare digests.
	EveryInstanceWatches Mode = "every_instance_watches"
)

const (
	watchRole             = "manifest_watch" // Name of the zone watcher's role in the directory.
	defaultDigestInterval = time.Second
	defaultStaleAfter     = 5 * time.Second
	defaultPollInterval   = 2 * time.Second
	initialSyncInterval   = 100 * time.Millisecond // Between attempts until the initial sync is complete.
	peerTimeout           = time.Second
	storeTimeout          = 2 * time.Second
	minWatchPause         = 100 * time.Millisecond
	maxWatchPause         = 2 * time.Second
	maxParallelPushes     = 32
	maxBatchBytes         = 2 << 20 // Of one message; half of drpc's default message limit of 4 MB.
	maxReported           = 64      // Entries of envelopeSet.reported.
)

// Config holds the dependencies and settings of a Distributor.
type Config struct {
	// Genesis are the co-owners' keys from settings, with which the owners
	// chain begins.
	Genesis []approver.Owner
	// Store is read and, by zone watchers, watched. They write revisions back that it
	// has lost. If it is nil, only peers are asked.
	Store storer.Store
	// Directory lists the members and names the watcher of each zone.
	Directory enroller.Directory
	// Dialer connects to peers.
	Dialer messenger.Dialer
	// Recorder receives the events manifest_in_force, envelope_refused,
	// manifest_conflict, manifest_out_of_force and manifest_reinstated. Nil records nothing.
	Recorder *recorder.Recorder
	// Clock is the real clock by default.
	Clock clockwork.Clock
	// Log is logrus' standard logger by default.
	Log logrus.FieldLogger
	// Metrics receives the counters "manifest.*". Nil discards them.
	Metrics metrics.Registry
	// Mode is ZoneWatcher by default.
	Mode Mode
	// DigestInterval is the time between digest exchanges. The default is 1 s.
	DigestInterval time.Duration
	// PollInterval is the time between the watcher's checks that its watch
	// missed nothing. The default is 2 s.
	PollInterval time.Duration
	// StaleAfter is the time without contact to the store or a peer after which
	// Stale reports true. The default is 5 s.
	StaleAfter time.Duration
}

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Mode == "" {
		c.Mode = ZoneWatcher
	}
	if c.DigestInterval <= 0 {
		c.DigestInterval = defaultDigestInterval
	}
	if c.PollInterval <= 0 {
		c.PollInterval = defaultPollInterval
	}
	if c.StaleAfter <= 0 {
		c.StaleAfter = defaultStaleAfter
	}
	return c
}
