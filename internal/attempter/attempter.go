package attempter

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/appraiser"
	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/delegator"
	"marigoldhub.example/hub/internal/placer"
)

const (
	// MaxAttempts bounds how many times a statement is sent.
	MaxAttempts = 4
	// BusyPause is the pause between attempts at a server whose queue was full: the
	// time in which it completes a request or two.
	BusyPause = 10 * time.Millisecond
	// WriteWaitFactor is how many objectives a write may wait. A late write is worth
	// more to callers than a late read, and only the primary can run it.
	WriteWaitFactor = 2
)

// Groups are the services' groups.
type Groups interface {
	// Group returns what is known of the service's primary.
	Group(service string) *attester.Group
}

// Backends are the listed servers.
type Backends interface {
	// Backend returns the listed server with the ID; nil if there is none.
	Backend(id string) *connector.Backend
}

// Config holds what an [Attempter] needs.
type Config struct {
	Groups   Groups
	Backends Backends
	// Delegator gives connections.
	Delegator *delegator.Delegator
	// Appraiser learns how the servers answered.
	Appraiser *appraiser.Appraiser
	// Instances returns all listed instances, this one included.
	Instances func() []placer.Peer
	Clock     clockwork.Clock
	Metrics   metrics.Registry
	Log       logrus.FieldLogger
}

// Attempter sends statements to servers and refuses those that no server runs.
type Attempter struct {
	cfg   Config
	count counters
	// retryBudget limits the tries after refusals at full queues.
	retryBudget retryBudget
	// returns hold when the callers of refused requests come back.
	returns returns
}

// New returns an attempter.
func New(cfg Config) *Attempter { return &Attempter{cfg: cfg, count: newCounters(cfg.Metrics)} }
