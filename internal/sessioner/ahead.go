package sessioner

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

const (
	// aheadPriority is added to the priority of a statement that was sent ahead: it waits
	// behind those of callers that wait for their answers, whose routes have priorities far
	// below.
	aheadPriority = 1 << 20
	// minAheadPause and maxAheadPause limit the pause after the refusal of such a
	// statement, which doubles with each further one. The next statement is there already,
	// and without a pause a few hundred callers are refused 15,000 times a second.
	minAheadPause = 100 * time.Millisecond
	maxAheadPause = 500 * time.Millisecond
)

// aheadState tells whether a caller sends statements ahead, before it has received the answers
// to those before.
type aheadState struct {
	// isAhead is set when the next statement had begun to arrive before the last answer was
	// written.
	isAhead bool
	// pause is the last one after a refusal; 0 if the last statement was not refused.
	pause time.Duration
}

// afterAnswer returns how long the next statement waits, if the present one was sent ahead and
// had the code; next tells whether that one has been sent ahead.
func (s *aheadState) afterAnswer(code exchanger.Code, next bool) time.Duration {
	refused := s.isAhead && code == exchanger.Busy
	s.isAhead = next
	if !refused {
		s.pause = 0
		return 0
	}
	s.pause = min(max(2*s.pause, minAheadPause), maxAheadPause)
	return s.pause
}
