package dispatcher

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// Config holds what a [Dispatcher] needs.
type Config struct {
	Zone     string
	Informer *informer.Informer
	Dialer   exchanger.Dialer
	// Members returns how many instances live in the zone and in all others,
	// this instance included.
	Members func(zone string) (near, far int)
	// DrainLimit is how long a draining server accepts work at least.
	DrainLimit time.Duration
	// AskPeers is as in [attester.Config].
	AskPeers func()
	Clock    clockwork.Clock
	// TimeOfDay returns the wall-clock time, which may be wrong by seconds.
	TimeOfDay func() time.Time
	Metrics   metrics.Registry
	Log       logrus.FieldLogger
}
