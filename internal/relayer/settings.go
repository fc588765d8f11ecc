package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/terminator"
)

// applySettings pins a connection and applies the settings of the startup
// message to it. A failure ends the session.
func (s *Session) applySettings() error {
	failure := s.retainer.Pin(func() (pooler.Conn, *pgproto3.ErrorResponse) {
		return s.acquirer.AcquirePrimary(s.acquirer.NewWait(), pooler.Write)
	}, resolver.Error(resolver.CodeTooManyConnections, "caller may not pin more server connections for its startup settings", ""))
	if failure != nil {
		return terminator.Fatal(failure.Code, failure.Message)
	}
	defer s.acquirer.EndUse()
	x := s.runner.New(s.retainer.Conn(), &batcher.Batch{Query: &pgproto3.Query{}}, &planner.Plan{})
	for _, statement := range s.startupStatements {
		r, err := x.Query(statement)
		if err != nil {
			return terminator.Fatal(resolver.CodeNotRun, "startup settings were not applied: "+err.Error())
		}
		if r.Err != nil {
			return terminator.Fatal(r.Err.Code, r.Err.Message)
		}
	}
	return nil
}
