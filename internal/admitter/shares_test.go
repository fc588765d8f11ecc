package admitter_test

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/admitter"
)

// wait starts to wait for a slot and returns when the request is queued.
func wait(l *admitter.Limiter, clock clockwork.Clock, u admitter.Urgency) <-chan error {
	ended := make(chan error, 1)
	queued := l.Waiting() + 1
	go func() {
		slot, err := l.Acquire(u, clock.Now().Add(time.Hour), time.Hour)
		if err == nil {
			slot.Release()
		}
		ended <- err
	}()
	for l.Waiting() < queued {
		time.Sleep(time.Millisecond)
	}
	return ended
}

// Guards against a forecast that differs from the order: a team within its share refused for
// the queue of one above it, and one above its share admitted to wait in vain.
func TestForecastByShares(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := admitter.New(2, 100, clock)
	in := func(team string, allowance time.Duration) admitter.Urgency {
		return admitter.Urgency{Priority: 1, Team: team, Due: clock.Now().Add(allowance)}
	}
	for _, team := range []string{"hot", "hot", "light"} {
		l.AcquireNowFor(in(team, time.Second), time.Hour)
	}
	for range 5 {
		wait(l, clock, in("hot", 100*time.Millisecond))
	}
	wait(l, clock, in("light", 200*time.Millisecond))
	for _, tc := range []struct {
		team            string
		ahead           int
		overtakenAtOnce bool
	}{
		{"hot", 6, true},
		{"light", 1, false},
		{"new", 1, false},
	} {
		s := l.Stats(in(tc.team, 300*time.Millisecond))
		if s.QueuedAhead != tc.ahead {
			t.Errorf("%s: %d are ahead, want %d", tc.team, s.QueuedAhead, tc.ahead)
		}
		// Statements of open transactions overtake all others for good.
		overtakers := slices.DeleteFunc(l.Stats(in(tc.team, 50*time.Millisecond)).Overtakers, func(o admitter.Overtakers) bool { return o.For == math.MaxInt64 })
		if got := len(overtakers) > 0; got != tc.overtakenAtOnce {
			t.Errorf("%s: a request that is due first is overtaken by %+v, want any: %v", tc.team, overtakers, tc.overtakenAtOnce)
		}
		for _, o := range overtakers {
			if o.For <= 0 || o.For > time.Second {
				t.Errorf("%s: overtaken for %v", tc.team, o.For)
			}
		}
	}
}

// Guards against requests that are refused although the floor of their priority serves them,
// and against a forecast that counts on the floor more than once.
func TestForecastAtTheFloor(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := admitter.New(2, 1000, clock)
	in := func(priority int, team string) admitter.Urgency {
		return admitter.Urgency{Priority: priority, Team: team, Due: clock.Now().Add(time.Second)}
	}
	// More urgent requests come at twice the rate that two slots of 20 ms can run.
	for range 1000 {
		if slot, err := l.Acquire(in(1, "a"), clock.Now(), time.Hour); err == nil {
			slot.Release()
		}
		clock.Advance(5 * time.Millisecond)
	}
	for range 2 {
		l.AcquireNow(time.Hour)
	}
	for _, tc := range []struct {
		name   string
		u      admitter.Urgency
		ahead  int
		endure bool
	}{
		{"team", in(2, "a"), 19, false},
		{"without a team", in(2, ""), 0, true},
		{"more urgent", in(0, "a"), 0, false},
	} {
		s := l.Stats(tc.u)
		endure := false
		for _, o := range s.Overtakers {
			endure = endure || o.For == math.MaxInt64 && o.Rate > 100
		}
		if s.QueuedAhead != tc.ahead || endure != tc.endure {
			t.Errorf("%s: %+v, want %d ahead", tc.name, s, tc.ahead)
		}
	}
}

// Guards against a request that keeps its place in the queue, and may still run, after its
// caller has left.
func TestCallerLeavesTheQueue(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := admitter.New(1, 10, clock)
	slot, err := l.Acquire(admitter.Urgency{}, clock.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	left := make(chan struct{})
	leaves := wait(l, clock, admitter.Urgency{Due: clock.Now().Add(time.Second), Left: left})
	stays := wait(l, clock, admitter.Urgency{Due: clock.Now().Add(2 * time.Second)})
	close(left)
	if err := <-leaves; !errors.Is(err, admitter.ErrLeft) {
		t.Errorf("caller left: %v", err)
	}
	if n := l.Waiting(); n != 1 {
		t.Errorf("%d requests wait, want 1", n)
	}
	slot.Release()
	if err := <-stays; err != nil {
		t.Errorf("the other caller: %v", err)
	}
	if u := l.TakeUse(); u.Left != 1 || u.TimedOut != 0 || u.Evicted != 0 {
		t.Errorf("%+v, want one that left", u)
	}
}

// Guards against slot time that is not counted, or is counted for more teams than metrics
// can name.
func TestUseByTeam(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := admitter.New(1, 10, clock)
	for i := range 400 {
		slot := l.AcquireNowFor(admitter.Urgency{Team: fmt.Sprint("team-", i)}, time.Hour)
		clock.Advance(10 * time.Millisecond)
		slot.Release()
	}
	u := l.TakeUse()
	sum := time.Duration(0)
	for _, d := range u.SlotTime {
		sum += d
	}
	if sum != 4*time.Second || len(u.SlotTime) > 257 || u.SlotTime["team-0"] != 10*time.Millisecond || u.SlotTime["other"] == 0 {
		t.Errorf("%v of slot time by %d teams: %v", sum, len(u.SlotTime), u.SlotTime)
	}
	if u := l.TakeUse(); len(u.SlotTime) != 0 {
		t.Errorf("counted twice: %v", u.SlotTime)
	}
}

// Guards against a forecast for requests at the floor that takes requests which were not
// sent, because no connection became free, for very short ones.
func TestRequestsThatWereNotSentHaveNoSlotTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := admitter.New(2, 1000, clock)
	in := func(priority int) admitter.Urgency {
		return admitter.Urgency{Priority: priority, Team: "a", Due: clock.Now().Add(time.Second)}
	}
	// More urgent requests of 20 ms come at twice the rate that two slots can run. Each
	// is followed by one that gets no connection.
	for range 200 {
		slot, err := l.Acquire(in(1), clock.Now(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		clock.Advance(20 * time.Millisecond)
		slot.Release()
		if slot, err = l.Acquire(in(1), clock.Now(), time.Hour); err != nil {
			t.Fatal(err)
		}
		slot.Cancel()
	}
	for range 800 {
		if slot, err := l.Acquire(in(1), clock.Now(), time.Hour); err == nil {
			slot.Cancel()
		}
		clock.Advance(5 * time.Millisecond)
	}
	for range 2 {
		l.AcquireNow(time.Hour)
	}
	if s := l.Stats(in(2)); s.QueuedAhead != 19 {
		t.Errorf("%+v, want the forecast of the floor, 19 ahead", s)
	}
	if u := l.TakeUse(); u.SlotTime["a"] < 4*time.Second {
		t.Errorf("%v", u.SlotTime)
	}
}

// Guards against a forecast for requests at the floor by which statements of open
// transactions take a fixed time, whatever was measured.
func TestForecastMeasuresOpenTransactions(t *testing.T) {
	for _, tc := range []struct {
		name        string
		took, pause time.Duration
		ahead       int
	}{
		{"short ones leave half of two slots free", 5 * time.Millisecond, 5 * time.Millisecond, 0},
		{"long ones take both slots", 200 * time.Millisecond, 0, 19},
	} {
		clock := clockwork.NewFakeClock()
		l := admitter.New(2, 1000, clock)
		u := admitter.Urgency{Priority: 1, Team: "a"}
		for range 400 {
			first, second := l.AcquireNowFor(u, time.Hour), l.AcquireNowFor(u, time.Hour)
			clock.Advance(tc.took)
			first.Release()
			second.Release()
			clock.Advance(tc.pause)
		}
		for range 2 {
			l.AcquireNowFor(u, time.Hour)
		}
		if s := l.Stats(admitter.Urgency{Priority: 2, Team: "a", Due: clock.Now().Add(time.Second)}); s.QueuedAhead != tc.ahead {
			t.Errorf("%s: %+v, want %d ahead", tc.name, s, tc.ahead)
		}
	}
}
