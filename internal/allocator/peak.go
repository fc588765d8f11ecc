package allocator

import "time"

// peak is the largest of the values that were observed in at least the last window. It
// keeps the largest of two spans of a window each.
type peak struct {
	began           time.Time
	present, former float64
	// isWhole is set when the former span is a whole one.
	isWhole bool
}

// observe adds a value and returns the largest one; false before a whole window has passed,
// and always if the window is 0.
func (p *peak) observe(v float64, now time.Time, window time.Duration) (largest float64, ok bool) {
	switch since := now.Sub(p.began); {
	case p.began.IsZero():
		p.began = now
	case since >= window:
		// Values between two observations are not known after a long pause.
		p.former, p.present, p.isWhole = p.present, v, since < 2*window
		p.began = now
	}
	p.present = max(p.present, v)
	return max(p.former, p.present), p.isWhole && window > 0
}
