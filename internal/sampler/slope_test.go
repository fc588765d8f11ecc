package sampler

import (
	"math"
	"testing"
)

// Guards against a rate that is wrong when points do not lie on a line, and
// against a division by zero for a single size.
func TestFit(t *testing.T) {
	cases := []struct {
		points     []Point
		base, rate float64
	}{
		{nil, 0, 0},
		{[]Point{{4, 7}}, 7, 0},
		{[]Point{{4, 6}, {4, 8}}, 7, 0},
		{[]Point{{1, 3}, {2, 5}, {4, 9}}, 1, 2},
		{[]Point{{0, 0}, {1, 2}, {2, 1}}, 0.5, 0.5},
	}
	for _, tc := range cases {
		base, rate := Slope{Points: tc.points}.Fit()
		if math.Abs(base-tc.base) > 1e-9 || math.Abs(rate-tc.rate) > 1e-9 {
			t.Errorf("%v: got %g + %g x, want %g + %g x", tc.points, base, rate, tc.base, tc.rate)
		}
	}
}
