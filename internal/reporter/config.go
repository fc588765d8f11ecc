package reporter

import (
	"crypto/tls"
	"net"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/recorder"
)

// Config holds the listeners of a [Reporter] and what it serves.
type Config struct {
	// Admin is the listener of the administration API.
	Admin net.Listener
	// AdminTLS requires mutual TLS on Admin; nil serves plain HTTP, which the
	// settings allow only on loopback addresses.
	AdminTLS *tls.Config
	// Health is the listener of the liveness and readiness checks.
	Health net.Listener
	// Status returns the current state.
	Status func() Status
	// Events returns the timeline of this process.
	Events func() []recorder.Event
	// Metrics is the registry that GET /v1/metrics returns.
	Metrics metrics.Registry
	// BeforeMetrics is called before each response with metrics, to update
	// those that are computed on demand; it may be nil.
	BeforeMetrics func()
	// Proposals handles the proposal operations; if nil, their paths are not
	// served.
	Proposals ProposalHandler
	// Log receives failures of the listeners.
	Log logrus.FieldLogger
}
