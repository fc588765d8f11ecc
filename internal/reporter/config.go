package reporter

import (
	"crypto/tls"
	"net"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/recorder"
)

// Config holds what a [Reporter] serves.
type Config struct {
	// Admin is the listener of the administration API.
	Admin net.Listener
	// AdminTLS demands mutual TLS on Admin; nil serves plain HTTP, which
	// settings allow only on loopback addresses.
	AdminTLS *tls.Config
	// Health is the listener of liveness and readiness checks.
	Health net.Listener
	// Status returns the present state.
	Status func() Status
	// Events returns the timeline of this process.
	Events func() []recorder.Event
	// Metrics is the registry that GET /v1/metrics shows.
	Metrics metrics.Registry
	// BeforeMetrics updates figures that are computed when they are read; it
	// may be nil.
	BeforeMetrics func()
	// Proposals handles manifest proposals; nil refuses them.
	Proposals ProposalHandler
	Log       logrus.FieldLogger
}
