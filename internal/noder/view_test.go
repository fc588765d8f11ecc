package noder

import (
	"math"
	"testing"
	"time"
)

// Guards against what another instance knows being taken for newer than it is, by the time on
// the way or by an age that no instance sends.
func TestAgesOfOtherInstances(t *testing.T) {
	asked := time.Now()
	for _, tc := range []struct {
		name  string
		asked time.Time
		age   uint64
		want  time.Time
	}{
		{"response", asked, 2_000_000, asked.Add(-2 * time.Second)},
		{"request", time.Time{}, 2_000_000, time.Time{}},
		{"no age", asked, 0, time.Time{}},
		{"age that overflows", asked, math.MaxUint64, time.Time{}},
		{"age that overflows when it is a duration", asked, math.MaxInt64 / 900, time.Time{}},
	} {
		if got, ok := timeOf(tc.age, tc.asked); !got.Equal(tc.want) || ok == got.IsZero() {
			t.Errorf("%s: %v, %v, want %v", tc.name, got, ok, tc.want)
		}
	}
}
