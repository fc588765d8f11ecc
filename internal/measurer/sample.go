package measurer

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestSample  = 1
	highestSample = int64(5 * 60 * 1e6)
	sampleDigits  = 3
)

// sample collects durations of concurrent tasks. Negative ones count as zero.
type sample struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newSample() *sample {
	return &sample{h: hdrhistogram.New(lowestSample, highestSample, sampleDigits)}
}

func (s *sample) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.h.RecordValue(min(max(d.Microseconds(), 0), highestSample))
}

func (s *sample) count() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.h.TotalCount())
}

// us returns a quantile in microseconds, NaN without samples.
func (s *sample) us(percent float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.h.TotalCount() == 0 {
		return math.NaN()
	}
	return float64(s.h.ValueAtQuantile(percent))
}

// ms returns a quantile in milliseconds, NaN without samples.
func (s *sample) ms(percent float64) float64 { return s.us(percent) / 1e3 }
