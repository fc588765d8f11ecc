package sessioner

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/authenticator"
	"marigoldhub.example/hub/internal/informer"
)

const (
	// withdrawalSpread is the time over which the sessions end whose key was withdrawn,
	// so that their callers do not all return at once.
	withdrawalSpread = time.Second
	// maxLoggedTeams limits the names of teams in one log line.
	maxLoggedTeams = 16
)

// setIdentity sets who the caller is.
func (s *session) setIdentity(id authenticator.Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identity, s.isIdentified = id, true
}

// isWithdrawn reports whether the key was withdrawn that the caller needs. Only the
// session's own goroutine may call it.
func (s *session) isWithdrawn() bool { return s.needsWithdrawnKey(s.database, s.identity) }

func (s *Server) needsWithdrawnKey(database string, id authenticator.Identity) bool {
	route, ok := s.Informer.State().Route(database)
	return ok && s.Authenticator.IsWithdrawn(id, route)
}

// followConfiguration ends the sessions whose key a new configuration has withdrawn, also
// those whose callers send nothing.
func (s *Server) followConfiguration() {
	var last *informer.Configuration
	for {
		changed := s.Informer.Changed()
		if c := s.Informer.State().Configuration; c != last {
			last = c
			s.endWithdrawn()
		}
		select {
		case <-changed:
		case <-s.done:
			return
		}
	}
}

// endWithdrawn wakes up the sessions whose key was withdrawn, or whose route needs one now
// that no team holds. They end by themselves.
func (s *Server) endWithdrawn() {
	var open []*session
	var teams []string
	s.mu.Lock()
	for ss := range s.sessions {
		if ss.isIdentified && s.needsWithdrawnKey(ss.database, ss.identity) {
			open, teams = append(open, ss), append(teams, ss.identity.Team)
		}
	}
	s.mu.Unlock()
	if len(open) == 0 {
		return
	}
	slices.Sort(teams)
	teams = slices.Compact(teams)
	s.Log.WithFields(logrus.Fields{"sessions": len(open), "teams": teams[:min(len(teams), maxLoggedTeams)]}).
		Info("sessioner: sessions end, their keys were withdrawn")
	for _, ss := range open {
		ss.conn.Interrupt()
		select {
		case <-s.Clock.After(withdrawalSpread / time.Duration(len(open))):
		case <-s.done:
			return
		}
	}
}
