package gossiper_test

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/gossiper"
)

// Guards against each instance discovering only by a failed caller's request that
// a machine has lost power (formosa-dots-grown scale-1: 460 requests failed in two
// seconds), and against instances that count as failed because they request their
// leases elsewhere (trouble-1: 11,977 times in a zone while no machine failed).
func TestLostInstances(t *testing.T) {
	ms := time.Millisecond
	// step lets the named instances send a request each 100 ms for a time, after a pause.
	type step struct {
		names       []string
		asks, pause time.Duration
	}
	for _, tc := range []struct {
		name  string
		steps []step
		lives []string
		want  []string
	}{
		{"all send requests", []step{{[]string{"a", "b"}, 2000 * ms, 0}}, nil, nil},
		{"one has failed", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 500 * ms, 0}}, nil, []string{"b"}},
		{"one sends its requests elsewhere", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 500 * ms, 0}}, []string{"b"}, nil},
		{"one request is missing", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 200 * ms, 0}}, nil, nil},
		{"one failed long ago", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 12 * time.Second, 0}}, nil, nil},
		{"one has recovered", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 500 * ms, 0}, {[]string{"a", "b"}, 100 * ms, 0}}, nil, nil},
		{"this one was suspended", []step{{[]string{"a", "b"}, 2000 * ms, 0}, {[]string{"a"}, 100 * ms, 3 * time.Second}}, []string{"b"}, nil},
	} {
		clock := clockwork.NewFakeClock()
		a := gossiper.NewFailureDetector(clock)
		for _, s := range tc.steps {
			clock.Advance(s.pause)
			for d := time.Duration(0); d < s.asks; d += 100 * ms {
				clock.Advance(100 * ms)
				for _, name := range s.names {
					a.Heartbeat(name)
				}
				for _, name := range a.Overdue() {
					a.RecordProbe(name, slices.Contains(tc.lives, name))
				}
			}
		}
		if got := a.Failed(); !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v have failed, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against a failed instance that only its own relay knows of, and against
// one that counts as failed elsewhere after it has recovered.
func TestFailedInstancesAreReported(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := gossiper.NewFailureDetector(clock)
	a.RecordReported([]string{"x", "y"})
	if got := a.Failed(); !slices.Equal(got, []string{"x", "y"}) {
		t.Errorf("%v are reported as failed", got)
	}
	if got := a.DetectedHere(); len(got) > 0 {
		t.Errorf("%v are passed on as detected here: they would count as failed for ever", got)
	}
	clock.Advance(time.Second)
	if got := a.Failed(); len(got) > 0 {
		t.Errorf("%v count as failed a second after the last report", got)
	}
}
