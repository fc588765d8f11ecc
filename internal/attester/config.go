package attester

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// Prober asks one server for its report.
type Prober interface {
	Probe(srv informer.Server, s exchanger.Statement, deadline time.Time) (exchanger.Report, error)
}

// Config holds what a [Group] needs.
type Config struct {
	Service string
	// Zone is this instance's availability zone; near servers are asked first.
	Zone string
	// Servers returns the service's servers.
	Servers func() []informer.Server
	Prober  Prober
	Clock   clockwork.Clock
	// AskPeers asks other instances for their views and returns when the
	// answers have been taken over. It may do nothing if it was called lately.
	AskPeers func()
	// TimeOfDay returns the wall-clock time, which may be wrong by seconds.
	TimeOfDay func() time.Time
	Log       logrus.FieldLogger
}
