package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/rewriter"
)

// setMarigoldSetting runs SET or RESET of a marigold setting for the session.
func (s *Session) setMarigoldSetting(st classifier.Statement) (localAnswer, *pgproto3.ErrorResponse) {
	if st.Setting != rewriter.KeySetting {
		return localAnswer{}, rewriter.UnknownSetting(st.Setting)
	}
	if !st.HasValue {
		s.requestKey = ""
		return localAnswer{tag: "RESET"}, nil
	}
	if failure := rewriter.CheckKey(st.Value); failure != nil {
		return localAnswer{}, failure
	}
	s.requestKey = st.Value
	return localAnswer{tag: "SET"}, nil
}

func (s *Session) showMarigoldSetting(st classifier.Statement) (localAnswer, *pgproto3.ErrorResponse) {
	a := localAnswer{column: st.Setting, tag: "SHOW"}
	switch st.Setting {
	case rewriter.KeySetting:
		a.value = s.requestKey
		return a, nil
	case rewriter.OutcomeSetting:
		var failure *pgproto3.ErrorResponse
		a.value, failure = s.requestOutcome()
		return a, failure
	}
	return a, rewriter.UnknownSetting(st.Setting)
}

// requestOutcome returns the outcome of the request with the session's key. It
// inserts the key with outcome not_run. If that commit is confirmed, the
// request can never commit. If the key exists already, its row has the outcome.
func (s *Session) requestOutcome() (string, *pgproto3.ErrorResponse) {
	switch {
	case s.requestKey == "":
		return "", resolver.Error(resolver.CodeInvalidValue, "marigold.request_key is not set", "")
	case s.retainer.Transaction().IsOpen:
		return "", resolver.Error("25001", "SHOW marigold.request_outcome cannot run inside a transaction block", "")
	}
	conn, failure := s.acquirer.Primary(s.acquirer.NewWait(), pooler.Write)
	if failure != nil {
		return "", failure
	}
	p := &planner.Plan{MayCommit: true, ImplicitWrite: true}
	return s.concluder.CloseKey(s.runner.New(conn, &batcher.Batch{Query: &pgproto3.Query{}}, p), s.requestKey)
}
