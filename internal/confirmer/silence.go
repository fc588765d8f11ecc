package confirmer

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// silenceTimer measures how long the monitor of a group has left requests
// unanswered. All requests of the group share it, so only the first of them
// waits for a dead monitor.
type silenceTimer struct {
	clock clockwork.Clock

	mu sync.Mutex
	// since is the start of the silence. It is zero if no request was open since
	// the last answer.
	since time.Time
}

// reset ends the silence. It is called for each answer of the monitor.
func (s *silenceTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Time{}
}

// elapsed returns the length of the silence, and starts the measurement if there
// is none. It must only be called while a request is open.
func (s *silenceTimer) elapsed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		s.since = s.clock.Now()
	}
	return s.clock.Since(s.since)
}
