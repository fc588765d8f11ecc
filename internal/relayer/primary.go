package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/router"
)

// maxAttempts bounds how often one batch is sent.
const maxAttempts = 4

// attempt is what became of one run of a batch. At most one field is set; all
// are zero when the answer is complete in the output buffer.
type attempt struct {
	// failure is the error to answer instead.
	failure *pgproto3.ErrorResponse
	// retry is set with failure when the batch may be run again.
	retry bool
}

// servePrimary runs a batch that starts outside a transaction on the primary.
func (s *Session) servePrimary(b *batch, p *planner.Plan) error {
	class := s.classOf(p)
	w := s.newWait()
	for n := 1; ; n++ {
		conn, failure := s.acquirePrimary(w, class)
		if failure != nil {
			s.leavePrimary()
			return s.fail(b, failure)
		}
		x := s.newExchange(conn, b, p)
		a := s.attempt(x)
		if b.flushed && a.failure == nil {
			return s.keepOpen(x)
		}
		if a.failure == nil {
			x.remembered()
			return s.ready()
		}
		if !a.retry || n == maxAttempts || w.over() || !s.r.parts.Budget.Retry() {
			return s.fail(b, a.failure)
		}
		s.r.counts.retries.Inc(1)
		w.afterFailure(s)
	}
}

// serveHeld runs a batch on the connection that the session keeps.
func (s *Session) serveHeld(b *batch, p *planner.Plan) error {
	if !s.held.tx.active {
		if err := s.checkPinned(); err != nil {
			return err
		}
	}
	x := s.newExchange(s.held.conn, b, p)
	a := s.attempt(x)
	switch {
	case a.failure != nil:
		return s.fail(b, a.failure)
	case b.flushed:
		return s.keepOpen(x)
	}
	x.remembered()
	return s.ready()
}

// checkPinned ends a session whose pinned connection is not on the primary.
func (s *Session) checkPinned() error {
	if failure := s.enterPrimary(s.newWait()); failure != nil {
		return &fatalError{resolver.Fatal(failure.Code, failure.Message)}
	}
	v, ok := s.r.parts.Views.View(s.name)
	if ok && v.Primary != "" && v.Primary != s.held.conn.Server() {
		return fatal(resolver.CodeShutdown, "the primary that held this session's settings was replaced, connect again")
	}
	return nil
}

func (s *Session) classOf(p *planner.Plan) pooler.Class {
	if !p.ReadOnly() {
		return pooler.Submission
	}
	if _, bounded := s.r.router.Bounded(s.name, p.Tables()); bounded && s.r.router.Policy() != router.AllPrimary {
		return pooler.BoundedRead
	}
	return pooler.StrictRead
}

// attempt runs a batch once and settles what becomes of the connection and of
// the answer.
func (s *Session) attempt(x *exchange) attempt {
	var p *proof
	if x.p.ReturnsData && !x.p.MayCommit && !x.b.flushed {
		p = s.beginProof()
	}
	if err := x.run(); err != nil {
		return x.afterLoss(err)
	}
	if x.b.flushed {
		return attempt{}
	}
	return x.settle(p)
}
