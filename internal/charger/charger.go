package charger

import (
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/throttler"
)

// Quotas keeps teams within their quotas.
type Quotas interface {
	// Admit takes an operation from the team's quota. It may wait for a part of the time
	// until the deadline. Its error is a [*throttler.Refusal].
	Admit(team string, deadline time.Time) (Operation, error)
}

// Operation is an admitted operation of a team. Its first Done or Refund counts.
type Operation interface {
	// IsExpired reports whether too much time has passed to begin the operation: its token has
	// expired and may have been granted to another operation.
	IsExpired() bool
	// Done records that the operation has run or may have.
	Done()
	// Refund gives the operation back to the quota because no server ran it.
	Refund()
}

// Unlimited admits everything. It implements [Quotas].
type Unlimited struct{}

// Admit implements [Quotas].
func (Unlimited) Admit(string, time.Time) (Operation, error) { return throttler.Operation{}, nil }

// Config holds what a [Charger] needs.
type Config struct {
	Quotas Quotas
	// Team is the caller's team; empty if it has none, and then nothing is charged.
	Team string
	// Wait is the time for which an operation may wait for its token.
	Wait  time.Duration
	Clock interface{ Now() time.Time }
	// Refused counts the operations that are refused.
	Refused metrics.Counter
}

// Charger charges the present operation of one session, if there is one. It is used by one
// goroutine.
type Charger struct {
	cfg       Config
	operation Operation
	// ran is set when a server ran a part of the operation, or may have.
	ran bool
}

// New returns a charger without an operation.
func New(cfg Config) *Charger { return &Charger{cfg: cfg} }

// Settle tells the quota that the operation ran, as soon as it did, and gives it back if it
// ended without.
func (c *Charger) Settle(ended bool) {
	switch {
	case c.operation == nil:
		return
	case c.ran:
		c.operation.Done()
	case ended:
		c.operation.Refund()
	}
	if ended {
		c.operation, c.ran = nil, false
	}
}

// Admit takes an operation of the session's team, if it has one, before a batch. A batch
// inside an operation that was admitted needs none, so that no transaction is cut by the
// quota, except one that ends the transaction and begins another. A batch that executes
// nothing needs none either, but one that ends with Flush does: what follows it belongs to
// the same operation, and holds a server connection.
func (c *Charger) Admit(executed []classifier.Statement, flushed bool) *pgproto3.ErrorResponse {
	if c.cfg.Team == "" || len(executed) == 0 && !flushed {
		return nil
	}
	if c.operation != nil {
		if !beginsAnother(executed) {
			return nil
		}
		c.Settle(true)
	}
	return c.take()
}

// take takes an operation from the quota of the session's team.
func (c *Charger) take() *pgproto3.ErrorResponse {
	o, err := c.cfg.Quotas.Admit(c.cfg.Team, c.cfg.Clock.Now().Add(c.cfg.Wait))
	if err != nil {
		c.cfg.Refused.Inc(1)
		return quotaError(err)
	}
	c.operation, c.ran = o, false
	return nil
}

// Confirm takes the session's operation from the quota once more if it has waited for longer
// than its token is valid. Otherwise all those that have waited for a primary would reach it in
// the same window as those that are admitted after them.
func (c *Charger) Confirm() *pgproto3.ErrorResponse {
	if c.operation == nil || !c.operation.IsExpired() {
		return nil
	}
	c.Settle(true)
	return c.take()
}

// MarkSent records that a part of the operation is sent to a server, which may run it from now on.
// If the server proves that it ran nothing of this part, undo takes the record back.
func (c *Charger) MarkSent() (undo func()) {
	before := c.ran
	c.ran = true
	return func() { c.ran = before }
}

// beginsAnother reports whether statements inside a transaction end it and begin another
// one.
func beginsAnother(list []classifier.Statement) bool {
	ended := false
	for _, st := range list {
		switch st.Kind {
		case classifier.Commit, classifier.Rollback:
			ended = true
		case classifier.Begin:
			if ended {
				return true
			}
		}
	}
	return false
}

// quotaError returns the answer to a batch that was not admitted.
func quotaError(err error) *pgproto3.ErrorResponse {
	var refusal *throttler.Refusal
	if !errors.As(err, &refusal) {
		return resolver.QuotaError(err.Error(), 0)
	}
	return resolver.QuotaError(refusal.Reason, refusal.After)
}
