package committer

import (
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
)

// Config holds what a [Committer] needs.
type Config struct {
	// Informer provides the configuration.
	Informer *informer.Informer
	Clock    clockwork.Clock
	Metrics  metrics.Registry
	Log      logrus.FieldLogger
}

// Committer answers commits.
type Committer struct {
	cfg Config
	// unknown are requests of unknown outcome, confirmed commits that no primary lease
	// proved, notProved those that nothing did.
	unknown, confirmed, notProved metrics.Counter
}

// New returns a committer.
func New(cfg Config) *Committer {
	c := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("dispatcher."+name, cfg.Metrics)
	}
	return &Committer{cfg: cfg, unknown: c("unknown_outcomes"), confirmed: c("commits_confirmed"), notProved: c("commits_not_proved")}
}

// UnknownOutcome logs and returns the answer to a request that may or may not have
// taken effect.
func (c *Committer) UnknownOutcome(req attempter.Request, l attester.Leader, err error) exchanger.Answer {
	c.unknown.Inc(1)
	c.cfg.Log.WithError(err).WithFields(logrus.Fields{
		"request": req.Statement.ID, "service": req.Route.Service, "server": l.Server.ID, "term": l.Term,
		"waited": c.cfg.Clock.Since(req.Received).String(),
	}).Warn("dispatcher: outcome of a request is unknown")
	text := "the answer was lost"
	if errors.Is(err, errNotProved) {
		text = "the primary is being replaced, and the commit may be lost with it"
	}
	return exchanger.ErrorAnswer(exchanger.UnknownOutcome, exchanger.Idle, text)
}

// errNotProved means that a server acknowledged a commit that the next primary may lack.
var errNotProved = errors.New("the commit is not proved to be in the log of every server that may be promoted")

// needsReplica reports whether the service's commits are acknowledged only when a replica
// has received them. Others may be lost with the primary, and no replica can prove them.
func (c *Committer) needsReplica(service string) bool {
	state := c.cfg.Informer.State()
	if !state.HasConfiguration() {
		return true
	}
	s, ok := state.Configuration.Services[service]
	return !ok || s.SyncReplicas > 0
}

// Acknowledge returns the answer to a commit that the primary has acknowledged, once
// the commit is proved to outlast a change of the primary. Otherwise its outcome is unknown.
func (c *Committer) Acknowledge(g *attester.Group, l attester.Leader, req attempter.Request, a exchanger.Answer, began, deadline time.Time) exchanger.Answer {
	if c.needsReplica(req.Route.Service) {
		if !g.HasLease(l) {
			c.confirmed.Inc(1)
		}
		if err := g.ConfirmCommit(l, a.Position, deadline); err != nil {
			c.notProved.Inc(1)
			return c.UnknownOutcome(req, l, errors.Join(errNotProved, err))
		}
	}
	g.RecordAcknowledged(a.Position)
	g.AddSample(attester.Sample{At: began, Position: a.Position, Term: l.Term})
	return a
}
