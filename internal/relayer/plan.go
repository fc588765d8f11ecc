package relayer

import (
	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/planner"
)

// plan analyzes a batch in the present state of the session.
func (s *Session) plan(b *batcher.Batch) *planner.Plan {
	return planner.Make(planner.Input{
		Query:         b.Query,
		Messages:      b.Messages,
		InTransaction: s.retainer.InTransaction(),
		HasServer:     s.retainer.Conn() != nil,
		Classifier:    s.r.deps.Classifier,
		Statement:     s.preparedResult,
		Portal:        s.retainer.Portals.Get,
	})
}

func (s *Session) preparedResult(name string) (*classifier.Result, bool) {
	st, ok := s.stmts.Get(name)
	if !ok {
		return nil, false
	}
	return st.Result, true
}
