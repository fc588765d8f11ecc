package runner

import (
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/internal/translator"
)

// Config holds the parts of a session that its exchanges use.
type Config struct {
	// Group is the name of the database group, Caller that of the caller.
	Group, Caller string
	// Output takes the answers.
	Output *responder.Output
	// Acquirer gets the cancel requests for the statement that runs.
	Acquirer *acquirer.Acquirer
	// Retainer knows the open transaction.
	Retainer *retainer.Retainer
	// Charger is told that a server may run the present operation.
	Charger   *charger.Charger
	Certifier *certifier.Certifier
	Views     tracker.ViewSource
	// Statements are the caller's prepared statements.
	Statements *preparer.Set
	Parser     translator.Parser
	// Disconnected is closed when the caller has disconnected.
	Disconnected <-chan struct{}
	// ResponseBufferLimit is the size up to which an answer is withheld until it is confirmed,
	// BatchLimit that of an answer that must be withheld, in bytes.
	ResponseBufferLimit, BatchLimit int
	Clock                           clockwork.Clock
	Log                             logrus.FieldLogger
}

// Runner makes the exchanges of one session.
type Runner struct{ cfg Config }

// New returns a runner.
func New(cfg Config) *Runner { return &Runner{cfg: cfg} }
