package sessioner

import (
	"sync/atomic"
	"time"

	"marigoldhub.example/hub/internal/budgeter"
)

const (
	// minIdle is how long a session must have been idle before it is closed in favor of
	// a new one. A caller in the middle of its work sends its next statement one network
	// round trip after an answer.
	minIdle = 100 * time.Millisecond
	// minStart is the time that a connection gets for the start of its session before it
	// is closed in favor of others.
	minStart = 500 * time.Millisecond
	// maxUnstartedShare is the share of the sessions that may be connections whose session
	// has not started.
	maxUnstartedShare = 0.5
)

// quietSince tells since when a session has neither a statement nor a transaction.
type quietSince struct {
	// nanos is the Unix time in nanoseconds; 0 while the session has work.
	nanos atomic.Int64
	// started is set when the session has started.
	started atomic.Bool
}

func (q *quietSince) setBusy()               { q.nanos.Store(0) }
func (q *quietSince) setQuiet(now time.Time) { q.nanos.Store(now.UnixNano()) }

// setStarted marks the session as started, or as ended before its start, in which case the
// time is not used any more.
func (s *session) setStarted(now time.Time) {
	s.setQuiet(now)
	if !s.started.Swap(true) {
		s.unstarted.Add(-1)
	}
}

// makeRoom returns whether a new connection has room. If there is none left, it closes a
// connection whose session has not started, or the session that has been idle for longest.
// The caller holds mu.
func (s *Server) makeRoom(now time.Time) bool {
	full := len(s.sessions) >= s.MaxSessions
	if !full && s.unstarted.Load() < max(int64(float64(s.MaxSessions)*maxUnstartedShare), 1) {
		return true
	}
	idle, unstarted := s.quietest(now)
	switch {
	case unstarted != nil:
		s.displace(unstarted, budgeter.StartDisplaced)
	case full && idle != nil:
		s.displace(idle, budgeter.IdleDisplaced)
	default:
		s.Refusals.Add(budgeter.TooManySessions)
		return false
	}
	return true
}

// closeOne closes a connection whose session has not started, or the session that has been
// idle for longest; false if there is none that may be closed.
func (s *Server) closeOne() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle, unstarted := s.quietest(s.Clock.Now())
	switch {
	case unstarted != nil:
		s.displace(unstarted, budgeter.StartDisplaced)
	case idle != nil:
		s.displace(idle, budgeter.IdleDisplaced)
	}
	return idle != nil || unstarted != nil
}

// quietest returns the session that has been idle for longest, and the connection that has
// been without the start of its session for longest, if that is long enough to close them.
// The caller holds mu.
func (s *Server) quietest(now time.Time) (idle, unstarted *session) {
	idleSince, unstartedSince := now.Add(-minIdle).UnixNano()+1, now.Add(-minStart).UnixNano()+1
	for ss := range s.sessions {
		since := ss.nanos.Load()
		switch started := ss.started.Load(); {
		case !started && since < unstartedSince:
			unstarted, unstartedSince = ss, since
		case started && since != 0 && since < idleSince:
			idle, idleSince = ss, since
		}
	}
	return idle, unstarted
}

// displace closes a session in favor of another one. The caller holds mu.
func (s *Server) displace(ss *session, reason budgeter.Reason) {
	delete(s.sessions, ss)
	s.Refusals.Add(reason)
	ss.conn.Abort()
}
