package relayer

import (
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
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

// noQuotas admits everything.
type noQuotas struct{}

func (noQuotas) Admit(string, time.Time) (Operation, error) { return throttler.Operation{}, nil }

// quotaUse is the present operation of a session in its team's quota: a batch outside a
// transaction, or a whole transaction. The zero value stands for none.
type quotaUse struct {
	operation Operation
	// ran is set when a server ran a part of the operation, or may have.
	ran bool
}

// isAdmitted reports whether there is an operation.
func (u quotaUse) isAdmitted() bool { return u.operation != nil }

// settle tells the quota that the operation ran, as soon as it did, and gives it back if it
// ended without.
func (u *quotaUse) settle(ended bool) {
	switch {
	case u.operation == nil:
		return
	case u.ran:
		u.operation.Done()
	case ended:
		u.operation.Refund()
	}
	if ended {
		*u = quotaUse{}
	}
}

// admit takes an operation of the session's team, if it has one, before a batch. A batch
// inside an operation that was admitted needs none, so that no transaction is cut by the
// quota, except one that ends the transaction and begins another. A batch that executes
// nothing needs none either, but one that ends with Flush does: what follows it belongs to
// the same operation, and holds a server connection.
func (s *Session) admit(b *batcher.Batch, p *planner.Plan) *pgproto3.ErrorResponse {
	if s.team == "" || len(p.Executed) == 0 && !b.Flushed {
		return nil
	}
	if s.quota.isAdmitted() {
		if !beginsAnother(p.Executed) {
			return nil
		}
		s.quota.settle(true)
	}
	return s.takeQuota()
}

// takeQuota takes an operation from the quota of the session's team.
func (s *Session) takeQuota() *pgproto3.ErrorResponse {
	o, err := s.r.deps.Quotas.Admit(s.team, s.r.clock.Now().Add(s.r.cfg.PrimaryWait))
	if err != nil {
		s.r.counts.overQuota.Inc(1)
		return quotaError(err)
	}
	s.quota = quotaUse{operation: o}
	return nil
}

// confirmQuota takes the session's operation from the quota once more if it has waited for longer
// than its token is valid. Otherwise all those that have waited for a primary would reach it in
// the same window as those that are admitted after them.
func (s *Session) confirmQuota() *pgproto3.ErrorResponse {
	if !s.quota.isAdmitted() || !s.quota.operation.IsExpired() {
		return nil
	}
	s.quota.settle(true)
	return s.takeQuota()
}

// acquireAdmitted returns a connection to the primary for the session's operation while its
// token is valid, if it needs one. The token is confirmed before the wait for a connection, too,
// so that none is kept from others during a wait for a token unless the wait for the connection
// outlasted the token.
func (s *Session) acquireAdmitted(w *primaryWait, class pooler.Class) (pooler.Conn, *pgproto3.ErrorResponse) {
	if failure := s.beginPrimaryUse(w); failure != nil {
		return nil, failure
	}
	if failure := s.confirmQuota(); failure != nil {
		return nil, failure
	}
	conn, failure := s.acquirePrimary(w, class)
	if failure != nil {
		return nil, failure
	}
	if failure := s.confirmQuota(); failure != nil {
		conn.Release()
		return nil, failure
	}
	return conn, nil
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

// settleQuota ends the session's operation unless a transaction, or a batch that awaits
// Sync, goes on.
func (s *Session) settleQuota() {
	s.quota.settle(!s.retained.tx.active && s.retained.openExchange == nil && !s.txLost)
}
