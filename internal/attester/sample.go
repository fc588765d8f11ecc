package attester

import (
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	// maxSamples at about sampleInterval covers a staleness of some seconds.
	maxSamples = 64
	// sampleInterval is about the least time between two samples that are kept.
	// It limits how much later than necessary a required position can be.
	sampleInterval = 50 * time.Millisecond
)

// Sample is a log position of the primary that covers every commit acknowledged
// before At.
type Sample struct {
	// At is a time just before the position was requested.
	At       time.Time
	Position tracker.Position
	// Term is the term in which the primary was proved to lead.
	Term uint64
}

// samples holds samples in order of time.
type samples []Sample

// add appends a sample and drops the oldest if there are too many.
func (s samples) add(n Sample) samples {
	if len(s) > 0 {
		last := s[len(s)-1]
		if n.At.Before(last.At) {
			return s
		}
		// A sample that is close to the one before the last replaces only the last
		// one: reads with different staleness need old samples as well as new ones.
		if len(s) > 1 && n.At.Sub(s[len(s)-2].At) < sampleInterval {
			s = s[:len(s)-1]
		}
	}
	if len(s) >= maxSamples {
		s = append(s[:0:0], s[len(s)-maxSamples+1:]...)
	}
	return append(s, n)
}

// firstSince returns the oldest sample taken at t or later: the lowest position
// that covers every commit acknowledged before t.
func (s samples) firstSince(t time.Time) (Sample, bool) {
	for _, c := range s {
		if !c.At.Before(t) {
			return c, true
		}
	}
	return Sample{}, false
}
