package chooser

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/appraiser"
	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/inspector"
)

// Backends are the listed servers.
type Backends interface {
	// BackendsOf returns the service's servers that accept new work.
	BackendsOf(service string, now time.Time) []*connector.Backend
}

// Config holds what a [Chooser] needs.
type Config struct {
	// Zone is the availability zone of this instance.
	Zone     string
	Groups   attempter.Groups
	Backends Backends
	// Informer provides the list of servers.
	Informer *informer.Informer
	// Inspector knows which replicas are behind, and Appraiser which servers are set aside.
	Inspector *inspector.Inspector
	Appraiser *appraiser.Appraiser
	// Attempter refuses the reads that no server could run.
	Attempter *attempter.Attempter
	// WaitAt returns how long requests wait at a server, as its gateway reports it; nil
	// if there are no reports.
	WaitAt func(server string) time.Duration
	// OtherZoneCost is the time that a read in another availability zone must save to
	// leave its own; 0 means [placer.DefaultOtherZoneCost].
	OtherZoneCost time.Duration
	Clock         clockwork.Clock
	Metrics       metrics.Registry
	Log           logrus.FieldLogger
}

// Chooser chooses the servers that run reads.
type Chooser struct {
	cfg Config
	// retries are attempts that did not run. readsPassedOver are reads that were not tried at
	// a replica because it lacks what they need, probeReads those that were sent on purpose
	// to a server that gets none otherwise.
	retries, readsPassedOver, probeReads metrics.Counter
}

// New returns a chooser.
func New(cfg Config) *Chooser {
	c := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("dispatcher."+name, cfg.Metrics)
	}
	return &Chooser{cfg: cfg, retries: c("retries"), readsPassedOver: c("reads_passed_over"), probeReads: c("probe_reads")}
}
