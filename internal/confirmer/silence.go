package confirmer

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// silenceTimer measures for how long the monitor of a group has left questions
// unanswered. All requests of the group share it, so that only the first of
// them waits for a dead monitor.
type silenceTimer struct {
	clock clockwork.Clock

	mu sync.Mutex
	// since is the start of the silence, zero when no question was asked since
	// the last answer.
	since time.Time
}

// reset ends the silence.
func (s *silenceTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Time{}
}

// elapsed returns the length of the silence. It is called while a question is
// open, and starts the measurement if there is none.
func (s *silenceTimer) elapsed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		s.since = s.clock.Now()
	}
	return s.clock.Since(s.since)
}
