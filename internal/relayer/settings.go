package relayer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
)

// maxStartupSettings is the largest number of settings in one startup message.
const maxStartupSettings = 16

// ValidStartupSetting reports whether a startup parameter can be applied to a
// server connection as a session setting.
func ValidStartupSetting(name, value string) bool {
	if name == "" || name == "options" || name == "replication" || strings.HasPrefix(name, "marigold.") {
		return false
	}
	for _, c := range name {
		if !(c == '_' || c == '.' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9') {
			return false
		}
	}
	return !strings.ContainsAny(value, "\\\x00")
}

// startupStatements returns the statements that apply the settings of a
// startup message, in a fixed order.
func startupStatements(settings map[string]string) ([]string, error) {
	if len(settings) > maxStartupSettings {
		return nil, fmt.Errorf("more than %d settings in startup message", maxStartupSettings)
	}
	list := make([]string, 0, len(settings))
	for name, value := range settings {
		list = append(list, "SELECT set_config("+quoteLiteral(name)+", "+quoteLiteral(value)+", false)")
	}
	slices.Sort(list)
	return list, nil
}

// applySettings pins a connection and applies the settings of the startup
// message to it. A failure ends the session.
func (s *Session) applySettings() error {
	if !s.r.reservePin(s.caller.Name, s.caller.PinnedLimit) {
		return responder.Fatal(resolver.CodeTooManyConnections, "caller may not pin more server connections for its startup settings")
	}
	conn, failure := s.acquirePrimary(s.newPrimaryWait(), pooler.Write)
	if failure != nil {
		s.r.releasePin(s.caller.Name)
		return responder.Fatal(failure.Code, failure.Message)
	}
	s.retained = retainedConn{conn: conn, pinned: true}
	defer s.endPrimaryUse()
	x := s.newExchange(conn, &batcher.Batch{Query: &pgproto3.Query{}}, &planner.Plan{})
	for _, statement := range s.startupStatements {
		r, err := x.query(statement)
		if err != nil {
			return responder.Fatal(resolver.CodeNotRun, "startup settings were not applied: "+err.Error())
		}
		if r.err != nil {
			return responder.Fatal(r.err.Code, r.err.Message)
		}
	}
	return nil
}
