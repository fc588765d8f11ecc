package relayer

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/director"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/tokener"
	"marigoldhub.example/hub/internal/tracker"
)

// Config holds the limits and the read policy of the sessions. Zero fields take
// the defaults.
type Config struct {
	// Policy selects which reads may go to replicas.
	Policy router.Policy
	// Zone is the availability zone of this instance.
	Zone string
	// MessageLimit is the largest message of a caller, in bytes.
	MessageLimit int
	// BatchLimit is the largest batch of a caller, in bytes. It also limits an
	// answer that is withheld until its commit is confirmed.
	BatchLimit int
	// ResponseBufferLimit is the size up to which an answer is withheld until it
	// is confirmed, in bytes. Rows beyond it may be passed on earlier.
	ResponseBufferLimit int
	// PrimaryWait is the time for which new work waits for an established
	// primary.
	PrimaryWait time.Duration
	// DrainWait is the time for which new work waits while a planned change of
	// primary is announced.
	DrainWait time.Duration
	// ConfirmWait is the time for which a commit or strict read waits for its
	// confirmation.
	ConfirmWait time.Duration
	// ReplicaWait is the time for which a read waits for a connection to a
	// replica before another server is tried.
	ReplicaWait time.Duration
	// WriteWait is the time that a caller may take to accept data.
	WriteWait time.Duration
}

// Defaults of [Config]. Sizes are in bytes.
const (
	DefaultMessageLimit        = 16 << 20
	DefaultBatchLimit          = 64 << 20
	DefaultResponseBufferLimit = 64 << 10
	DefaultPrimaryWait         = 5 * time.Second
	DefaultDrainWait           = 200 * time.Millisecond
	DefaultConfirmWait         = 10 * time.Second
	DefaultReplicaWait         = 100 * time.Millisecond
	DefaultWriteWait           = 30 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Policy, router.Session)
	setDefault(&c.MessageLimit, DefaultMessageLimit)
	setDefault(&c.BatchLimit, DefaultBatchLimit)
	setDefault(&c.ResponseBufferLimit, DefaultResponseBufferLimit)
	setDefault(&c.PrimaryWait, DefaultPrimaryWait)
	setDefault(&c.DrainWait, DefaultDrainWait)
	setDefault(&c.ConfirmWait, DefaultConfirmWait)
	setDefault(&c.ReplicaWait, DefaultReplicaWait)
	setDefault(&c.WriteWait, DefaultWriteWait)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Dependencies are the other components that a [Relayer] uses. Clock, Recorder,
// Metrics and Log may be nil.
type Dependencies struct {
	// Catalogs is the source of the catalog, Views that of the groups' states.
	Catalogs checker.CatalogSource
	Views    tracker.ViewSource
	// Acquirer hands out server connections.
	Acquirer pooler.Acquirer
	// Confirmer confirms log positions of commits and strict reads.
	Confirmer   confirmer.Confirmer
	RetryBudget director.RetryBudget
	// Classifier parses and classifies statements.
	Classifier *classifier.Classifier
	// Tokener signs and verifies session tokens.
	Tokener *tokener.Tokener
	// Quotas keeps teams within their quotas; nil means that there are none.
	Quotas   charger.Quotas
	Clock    clockwork.Clock
	Recorder *recorder.Recorder
	Metrics  metrics.Registry
	Log      logrus.FieldLogger
}
