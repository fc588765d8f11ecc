package relayer

import (
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/resolver"
)

// keepOpen passes on the answer to a flushed batch and keeps its connection
// until Sync. Results that are passed on before Sync are provisional: the
// implicit transaction ends at Sync, and ReadyForQuery is withheld until its
// position is confirmed.
func (s *Session) keepOpen(x *exchange) error {
	s.held.conn = x.conn
	s.held.open = x
	x.remembered()
	x.sent = true
	return s.flush()
}

// serveOpen continues a flushed batch.
func (s *Session) serveOpen(b *batch) error {
	x := s.held.open
	p := s.plan(b)
	if p.Refusal != nil {
		return s.refuseOpen(b, p)
	}
	x.p.Merge(p)
	x.b = b
	x.streams = true
	if err := x.run(); err != nil {
		return s.answerOpen(x, x.afterLoss(err))
	}
	if b.flushed {
		return s.keepOpen(x)
	}
	s.held.open = nil
	return s.answerOpen(x, x.settle(nil))
}

func (s *Session) answerOpen(x *exchange, a attempt) error {
	if a.failure != nil {
		return s.fail(x.b, a.failure)
	}
	x.remembered()
	return s.ready()
}

// refuseOpen ends an open batch with an error; nothing of it is committed,
// because Sync was not sent.
func (s *Session) refuseOpen(b *batch, p *planner.Plan) error {
	s.lost = s.held.tx.active
	s.dropHeld()
	if p.Refusal.Code == resolver.CodeNotSupported {
		p.Refusal.Hint = "The batch was rolled back."
	}
	return s.fail(b, p.Refusal)
}
