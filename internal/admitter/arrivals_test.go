package admitter_test

import (
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/admitter"
)

// Guards against a forecast that counts only those who wait already: less urgent
// requests then wait and are refused when half of their objective is over.
func TestOvertakers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := admitter.New(1, 1000, clock)
	in := func(priority int, allowance time.Duration) admitter.Urgency {
		return admitter.Urgency{Priority: priority, Due: clock.Now().Add(allowance)}
	}
	slot, err := l.Acquire(in(1, 0), clock.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	slot.Release()
	for range 5000 {
		for _, u := range []admitter.Urgency{in(0, 150*time.Millisecond), in(2, 250*time.Millisecond), in(2, 500*time.Millisecond)} {
			if slot, err := l.Acquire(u, clock.Now(), time.Hour); err == nil {
				slot.Release()
			}
		}
		clock.Advance(20 * time.Millisecond)
	}
	l.AcquireNow(time.Hour)
	for _, tc := range []struct {
		name    string
		urgency admitter.Urgency
		rate    float64
		longest time.Duration
	}{
		{"most urgent", in(-1, 0), 1, math.MaxInt64},
		{"by priority", in(1, time.Second), 51, math.MaxInt64},
		{"by due time, while they are due earlier", in(2, 400*time.Millisecond), 101, math.MaxInt64},
		{"equally urgent ones do not overtake", in(2, 250*time.Millisecond), 51, math.MaxInt64},
	} {
		rate, bounded := 0.0, 0
		for _, o := range l.Stats(tc.urgency).Overtakers {
			rate += o.Rate
			if o.For != math.MaxInt64 {
				bounded++
				if o.For != 150*time.Millisecond {
					t.Errorf("%s: overtake for %v, want 150ms", tc.name, o.For)
				}
			}
		}
		if math.Abs(rate-tc.rate) > 3 {
			t.Errorf("%s: %.1f a second, want %.0f", tc.name, rate, tc.rate)
		}
		if want := tc.name == "by due time, while they are due earlier"; (bounded == 1) != want {
			t.Errorf("%s: %d rates end", tc.name, bounded)
		}
	}
	clock.Advance(20 * time.Second)
	if o := l.Stats(in(9, time.Hour)).Overtakers; len(o) != 0 {
		t.Errorf("after 20 s without requests: %v", o)
	}
}
