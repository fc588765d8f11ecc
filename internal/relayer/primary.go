package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/concluder"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/runner"
)

// maxAttempts is how often one batch is run at most.
const maxAttempts = 4

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
		x := s.runner.New(conn, b, p)
		a := s.runOnce(x)
		if b.Flushed && a.Failure == nil {
			return s.retainFlushed(x)
		}
		if a.Failure == nil {
			x.ApplyStatements()
			return s.ready()
		}
		if !a.MayRetry || n == maxAttempts || w.IsExpired() || !s.r.deps.RetryBudget.AllowRetry() {
			return s.fail(b, a.Failure)
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
	x := s.runner.New(s.retainer.Conn(), b, p)
	a := s.runOnce(x)
	switch {
	case a.Failure != nil:
		return s.fail(b, a.Failure)
	case b.Flushed:
		return s.retainFlushed(x)
	}
	x.ApplyStatements()
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

// runOnce runs a batch once and concludes the exchange.
func (s *Session) runOnce(x *runner.Exchange) concluder.Verdict {
	var p *certifier.Fresh
	if x.Plan.ReturnsData && !x.Plan.MayCommit && !x.Batch.Flushed {
		p = s.certifier.StartFresh()
	}
	if err := x.Run(); err != nil {
		return s.concluder.Lost(x, err)
	}
	if x.Batch.Flushed {
		return concluder.Verdict{}
	}
	return s.concluder.Conclude(x, p)
}

// requestOutcome settles and returns the outcome of the request with the key.
func (s *Session) requestOutcome(key string) (string, *pgproto3.ErrorResponse) {
	conn, failure := s.acquirer.Primary(s.acquirer.NewWait(), pooler.Write)
	if failure != nil {
		return "", failure
	}
	p := &planner.Plan{MayCommit: true, ImplicitWrite: true}
	return s.concluder.CloseKey(s.runner.New(conn, &batcher.Batch{Query: &pgproto3.Query{}}, p), key)
}
