package gatekeeper

import (
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/rewriter"
	"marigoldhub.example/hub/internal/tokener"
)

// maxParameterBytes is the maximum length of a name or value of a startup
// parameter, in bytes.
const maxParameterBytes = 1 << 10

// startup is the content of a caller's startup message.
type startup struct {
	user, database, application, token string
	// settings are the session settings that pin a server connection.
	settings map[string]string
	// unsupportedOptions are the requested protocol options, none of which is
	// supported.
	unsupportedOptions []string
}

// parseStartup reads and checks the parameters of a startup message.
func parseStartup(m *pgproto3.StartupMessage) (startup, error) {
	s := startup{database: m.Parameters["database"]}
	for name, value := range m.Parameters {
		if len(name) > maxParameterBytes || len(value) > maxParameterBytes {
			return startup{}, &loginError{resolver.CodeProtocolViolation, "startup parameter is too long"}
		}
		switch {
		case name == "user":
			s.user = value
		case name == "database":
		case name == tokener.Parameter:
			s.token = value
		case name == "application_name":
			s.application = printable(value)
		case strings.HasPrefix(name, "_pq_."):
			s.unsupportedOptions = append(s.unsupportedOptions, name)
		case name == "options" && strings.TrimSpace(value) == "":
		case planner.NonPinningSetting(name, value):
		case rewriter.ValidStartupSetting(name, value):
			if s.settings == nil {
				s.settings = make(map[string]string)
			}
			s.settings[name] = value
		default:
			return startup{}, &loginError{resolver.CodeNotSupported, "startup parameter \"" + printable(name) + "\" is not supported by the proxy"}
		}
	}
	if s.user == "" {
		return startup{}, &loginError{resolver.CodeInvalidLogin, "no user name in startup message"}
	}
	if s.database == "" {
		s.database = s.user
	}
	slices.Sort(s.unsupportedOptions)
	return s, nil
}

// printable replaces all characters but printable ASCII by question marks, as
// PostgreSQL does with application names.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, s)
}
