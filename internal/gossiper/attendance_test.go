package gossiper_test

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/gossiper"
)

// Guards against each instance finding out by itself, with a caller's request,
// that a machine has lost power (formosa-dots-grown scale-1: 460 requests failed in
// two seconds), and against a holder that was frozen and takes all others for lost.
func TestQuietInstances(t *testing.T) {
	ms := time.Millisecond
	// step lets the named instances ask each 100 ms for a time, without the pause
	// before the first question.
	type step struct {
		names []string
		asks  time.Duration
		pause time.Duration
	}
	for _, tc := range []struct {
		name  string
		steps []step
		want  []string
	}{
		{"all ask", []step{{[]string{"a", "b"}, 2000 * ms, 0}}, nil},
		{"one has stopped", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 500 * ms, 0}}, []string{"b"}},
		{"two questions are missing", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 200 * ms, 0}}, nil},
		{"one has stopped long ago", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 12 * time.Second, 0}}, nil},
		{"one is back", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 500 * ms, 0}, {[]string{"a", "b"}, 100 * ms, 0}}, nil},
		{"holder was frozen", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 100 * ms, 3 * time.Second}}, nil},
		{"holder was frozen, one does not return", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 1500 * ms, 3 * time.Second}}, []string{"b"}},
	} {
		clock := clockwork.NewFakeClock()
		a := gossiper.NewAttendance(clock)
		for _, s := range tc.steps {
			clock.Advance(s.pause)
			for d := time.Duration(0); d < s.asks; d += 100 * ms {
				clock.Advance(100 * ms)
				for _, name := range s.names {
					a.Note(name)
				}
			}
		}
		if got := a.Quiet(); !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v are quiet, want %v", tc.name, got, tc.want)
		}
	}
}
