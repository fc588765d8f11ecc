package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/router"
)

// maxAttempts is how often one batch is run at most.
const maxAttempts = 4

// attemptResult is the result of one run of a batch. It is zero when the whole
// answer is in the output buffer.
type attemptResult struct {
	// failure is the error for the caller instead of the answer.
	failure *pgproto3.ErrorResponse
	// retry is set with failure when the batch may be run again.
	retry bool
}

// serveOnPrimary runs a batch that starts outside a transaction on the primary.
func (s *Session) serveOnPrimary(b *batcher.Batch, p *planner.Plan) error {
	class := s.classOf(p)
	w := s.acquirer.NewWait()
	for n := 1; ; n++ {
		conn, failure := s.acquirer.Admitted(w, class, s.quota.Confirm)
		if failure != nil {
			s.acquirer.EndUse()
			return s.fail(b, failure)
		}
		x := s.newExchange(conn, b, p)
		a := s.runOnce(x)
		if b.Flushed && a.failure == nil {
			return s.retainFlushed(x)
		}
		if a.failure == nil {
			x.applyStatementChanges()
			return s.ready()
		}
		if !a.retry || n == maxAttempts || w.IsExpired() || !s.r.deps.RetryBudget.AllowRetry() {
			return s.fail(b, a.failure)
		}
		s.r.counts.retries.Inc(1)
		s.acquirer.BeforeRetry()
	}
}

// serveOnRetained runs a batch on the connection that the session retains.
func (s *Session) serveOnRetained(b *batcher.Batch, p *planner.Plan) error {
	if !s.retainer.Transaction().IsOpen {
		if err := s.checkPinnedServer(); err != nil {
			return err
		}
		if failure := s.quota.Confirm(); failure != nil {
			s.acquirer.EndUse()
			return s.fail(b, failure)
		}
	}
	x := s.newExchange(s.retainer.Conn(), b, p)
	a := s.runOnce(x)
	switch {
	case a.failure != nil:
		return s.fail(b, a.failure)
	case b.Flushed:
		return s.retainFlushed(x)
	}
	x.applyStatementChanges()
	return s.ready()
}

// checkPinnedServer ends a session whose pinned connection is not to the
// primary.
func (s *Session) checkPinnedServer() error {
	if failure := s.acquirer.BeginUse(s.acquirer.NewWait()); failure != nil {
		return responder.Fatal(failure.Code, failure.Message)
	}
	v, ok := s.r.deps.Views.View(s.groupName)
	if ok && v.Primary != "" && v.Primary != s.retainer.Conn().Server() {
		return responder.Fatal(resolver.CodeShutdown, "the primary that held this session's settings was replaced, connect again")
	}
	return nil
}

func (s *Session) classOf(p *planner.Plan) pooler.Class {
	if !p.ReadOnly() {
		return pooler.Write
	}
	if _, bounded := s.r.router.Bounded(s.groupName, p.Tables()); bounded && s.r.router.Policy() != router.AllPrimary {
		return pooler.BoundedRead
	}
	return pooler.StrictRead
}

// runOnce runs a batch once and finalizes the exchange.
func (s *Session) runOnce(x *exchange) attemptResult {
	var p *certifier.Fresh
	if x.plan.ReturnsData && !x.plan.MayCommit && !x.batch.Flushed {
		p = s.certifier.StartFresh()
	}
	if err := x.run(); err != nil {
		return x.finalizeLost(err)
	}
	if x.batch.Flushed {
		return attemptResult{}
	}
	return x.finalize(p)
}
