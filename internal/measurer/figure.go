package measurer

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"sync"
)

// Figure is one measured value.
type Figure struct {
	// Key is in snake case and starts with the user's name.
	Key   string
	Value float64
	// Aim is the wanted value, meaningful when HasAim is set.
	Aim    float64
	HasAim bool
	// AtLeast is set when values below the aim miss it; otherwise values above
	// the aim do.
	AtLeast bool
	// Broken is set for a value that makes the run fail.
	Broken bool
}

// Missed reports whether the figure has an aim and does not meet it.
func (f Figure) Missed() bool {
	if !f.HasAim {
		return false
	}
	return math.IsNaN(f.Value) || (f.AtLeast && f.Value < f.Aim) || (!f.AtLeast && f.Value > f.Aim)
}

// Sheet collects the figures of a run in the order of their measurement.
type Sheet struct {
	w io.Writer

	mu   sync.Mutex
	list []Figure
}

// NewSheet returns a sheet that prints each figure to w when it is added.
func NewSheet(w io.Writer) *Sheet { return &Sheet{w: w} }

// Add prints and keeps a figure.
func (s *Sheet) Add(f Figure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, f)
	fmt.Fprintf(s.w, "%s=%s\n", f.Key, formatValue(f.Value))
	if f.HasAim {
		fmt.Fprintf(s.w, "%s_aim=%s\n", f.Key, formatValue(f.Aim))
	}
}

// Figures returns a copy of all figures.
func (s *Sheet) Figures() []Figure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Figure(nil), s.list...)
}

// Value returns the value of a figure, NaN when it was not measured.
func (s *Sheet) Value(key string) float64 {
	for _, f := range s.Figures() {
		if f.Key == key {
			return f.Value
		}
	}
	return math.NaN()
}

// sheetOf adds figures of one user.
type sheetOf struct {
	*Sheet
	user string
}

func (s sheetOf) key(name string) string { return s.user + "_" + name }

func (s sheetOf) add(name string, v float64) { s.Add(Figure{Key: s.key(name), Value: v}) }

func (s sheetOf) atMost(name string, v, aim float64) {
	s.Add(Figure{Key: s.key(name), Value: v, Aim: aim, HasAim: true})
}

func (s sheetOf) atLeast(name string, v, aim float64) {
	s.Add(Figure{Key: s.key(name), Value: v, Aim: aim, HasAim: true, AtLeast: true})
}

// promise adds a figure that must not exceed the limit.
func (s sheetOf) promise(name string, v, limit float64) {
	s.Add(Figure{Key: s.key(name), Value: v, Aim: limit, HasAim: true, Broken: v > limit})
}

func formatValue(v float64) string {
	switch {
	case math.IsNaN(v):
		return "none"
	case v == math.Trunc(v):
		return strconv.FormatFloat(v, 'f', 0, 64)
	default:
		return strconv.FormatFloat(v, 'f', 3, 64)
	}
}
