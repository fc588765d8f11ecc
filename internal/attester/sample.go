package attester

import (
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

const (
	// maxSamples covers the longest staleness of seconds at sampleInterval.
	maxSamples = 64
	// sampleInterval is the shortest distance of two samples that are kept. It
	// bounds how much older than necessary a floor can be.
	sampleInterval = 50 * time.Millisecond
)

// Sample is a position that covers every commit acknowledged before At.
type Sample struct {
	At       time.Time
	Position tracker.Position
	// Term is the term in which the position was proved.
	Term uint64
}

// samples holds the proved samples in order of time.
type samples []Sample

func (s samples) add(n Sample) samples {
	if len(s) > 0 {
		last := s[len(s)-1]
		if n.At.Before(last.At) {
			return s
		}
		// Close samples replace each other, except that the one before the last
		// stays: floors want old samples as well as new ones.
		if len(s) > 1 && n.At.Sub(s[len(s)-2].At) < sampleInterval {
			s = s[:len(s)-1]
		}
	}
	if len(s) >= maxSamples {
		s = append(s[:0:0], s[len(s)-maxSamples+1:]...)
	}
	return append(s, n)
}

// firstSince returns the oldest sample that is not older than t: the lowest
// position that covers every commit acknowledged before t.
func (s samples) firstSince(t time.Time) (Sample, bool) {
	for _, c := range s {
		if !c.At.Before(t) {
			return c, true
		}
	}
	return Sample{}, false
}
