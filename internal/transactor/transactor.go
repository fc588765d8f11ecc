package transactor

import (
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/chooser"
	"marigoldhub.example/hub/internal/committer"
	"marigoldhub.example/hub/internal/delegator"
	"marigoldhub.example/hub/internal/exchanger"
)

// Config holds what a [Transactor] needs.
type Config struct {
	Groups   attempter.Groups
	Backends attempter.Backends
	// Delegator gives connections.
	Delegator *delegator.Delegator
	// Attempter refuses transactions that could not begin, Chooser chooses the servers of
	// those that only read, and Committer answers commits.
	Attempter *attempter.Attempter
	Chooser   *chooser.Chooser
	Committer *committer.Committer
	Clock     clockwork.Clock
	Log       logrus.FieldLogger
}

// Transactor begins transactions.
type Transactor struct{ cfg Config }

// New returns a transactor.
func New(cfg Config) *Transactor { return &Transactor{cfg} }

// Begin returns a transaction that has not yet reached a server.
func (x *Transactor) Begin(begin attempter.Request) *Transaction {
	return &Transaction{cfg: &x.cfg, begin: begin, readOnly: begin.Statement.Kind == exchanger.BeginReadOnly}
}
