package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
)

// requestOutcome settles and returns the outcome of the request with the key.
func (s *Session) requestOutcome(key string) (string, *pgproto3.ErrorResponse) {
	conn, failure := s.acquirer.AcquirePrimary(s.acquirer.NewWait(), pooler.Write)
	if failure != nil {
		return "", failure
	}
	p := &planner.Plan{MayCommit: true, ImplicitWrite: true}
	return s.concluder.CloseKey(s.runner.New(conn, &batcher.Batch{Query: &pgproto3.Query{}}, p), key)
}
