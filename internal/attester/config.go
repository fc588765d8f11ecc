package attester

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// Prober sends a statement to one server and returns the server's report.
type Prober interface {
	Probe(srv informer.Server, s exchanger.Statement, deadline time.Time) (exchanger.Report, error)
}

// Config holds what a [Group] needs.
type Config struct {
	Service string
	// Servers returns the service's servers.
	Servers func() []informer.Server
	Prober  Prober
	// Clock counts the time in which the machine is suspended.
	Clock clockwork.Clock
	// AskPeers exchanges views with other instances and returns when an answer has
	// been merged or all have failed. It may return at once if it has just run.
	AskPeers func()
	Log      logrus.FieldLogger
}
