package admitter_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/admitter"
)

// Guards against a slot that goes to a less urgent request or to one that has
// given up, and against a slot that is lost.
func TestAdmissionOrder(t *testing.T) {
	clock := clockwork.NewRealClock()
	l := admitter.New(1, 8, clock)
	now := clock.Now()
	slot, err := l.Acquire(admitter.Urgency{Priority: 2, Due: now}, now, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	order := make(chan string, 8)
	ended := make(chan struct{})
	waiting := []struct {
		name    string
		urgency admitter.Urgency
		wait    time.Duration
	}{
		{"old reads", admitter.Urgency{Priority: 2, Due: now.Add(500 * time.Millisecond)}, 5 * time.Second},
		{"gives up", admitter.Urgency{Priority: 1, Due: now}, 20 * time.Millisecond},
		{"own reads", admitter.Urgency{Priority: 2, Due: now.Add(250 * time.Millisecond)}, 5 * time.Second},
		{"writes", admitter.Urgency{Priority: 1, Due: now.Add(time.Second)}, 5 * time.Second},
	}
	for i, w := range waiting {
		go func() {
			defer func() { ended <- struct{}{} }()
			slot, err := l.Acquire(w.urgency, clock.Now().Add(w.wait), time.Minute)
			if err != nil {
				if !errors.Is(err, admitter.ErrNotAdmitted) || w.name != "gives up" {
					t.Errorf("%s: %v", w.name, err)
				}
				return
			}
			order <- w.name
			slot.Release()
		}()
		for l.Stats(admitter.Urgency{Priority: 9}).QueuedAhead <= i {
			time.Sleep(time.Millisecond)
		}
	}
	if s := l.Stats(admitter.Urgency{Priority: 2, Due: now.Add(300 * time.Millisecond)}); s.QueuedAhead != 3 || s.Running != 1 {
		t.Errorf("%+v, want 3 before a read that is due in 300 ms", s)
	}
	time.Sleep(50 * time.Millisecond)
	slot.Release()
	for range waiting {
		<-ended
	}
	for _, want := range []string{"writes", "own reads", "old reads"} {
		if got := <-order; got != want {
			t.Errorf("%s got the slot, want %s", got, want)
		}
	}
	if s := l.Stats(admitter.Urgency{}); s.Running != 0 {
		t.Errorf("%d slots are taken at the end", s.Running)
	}
}

// Guards against requests that wait although they will be refused: when too many
// wait, the least urgent one is refused at once.
func TestLeastUrgentGivesUp(t *testing.T) {
	clock := clockwork.NewRealClock()
	l := admitter.New(1, 2, clock)
	now := clock.Now()
	slot, err := l.Acquire(admitter.Urgency{}, now, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan int, 8)
	acquire := func(priority int) {
		slot, err := l.Acquire(admitter.Urgency{Priority: priority, Due: now}, clock.Now().Add(5*time.Second), time.Minute)
		if err != nil {
			ended <- priority
			return
		}
		slot.Release()
	}
	for i, p := range []int{2, 3} {
		go acquire(p)
		for l.Stats(admitter.Urgency{Priority: 9}).QueuedAhead <= i {
			time.Sleep(time.Millisecond)
		}
	}
	for _, tc := range []struct{ priority, givesUp int }{{1, 3}, {4, 4}, {1, 2}} {
		go acquire(tc.priority)
		select {
		case got := <-ended:
			if got != tc.givesUp {
				t.Errorf("priority %d came, %d gave up, want %d", tc.priority, got, tc.givesUp)
			}
		case <-time.After(time.Second):
			t.Fatalf("priority %d came, nobody gave up", tc.priority)
		}
	}
	slot.Release()
}

// Guards against a server at which a few lost answers keep all other requests
// waiting until their callers give up, and against a slot that is freed twice.
func TestSlotTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := admitter.New(1, 8, clock)
	slot, err := l.Acquire(admitter.Urgency{}, clock.Now(), 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	acquired := make(chan *admitter.Slot, 1)
	go func() {
		slot, err := l.Acquire(admitter.Urgency{}, clock.Now().Add(time.Second), time.Minute)
		if err != nil {
			t.Error(err)
		}
		acquired <- slot
	}()
	for l.Stats(admitter.Urgency{Priority: 9}).QueuedAhead == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(99 * time.Millisecond)
	select {
	case <-acquired:
		t.Fatal("a second request got a slot before the timeout of the first")
	case <-time.After(20 * time.Millisecond):
	}
	clock.Advance(time.Millisecond)
	next := <-acquired
	slot.Release()
	if s := l.Stats(admitter.Urgency{}); s.Running != 1 {
		t.Errorf("%d slots are taken, want 1", s.Running)
	}
	next.Release()
	next.Release()
	if s := l.Stats(admitter.Urgency{}); s.Running != 0 {
		t.Errorf("%d slots are taken at the end", s.Running)
	}
}

// Guards against a transaction whose statements wait behind requests that have
// not begun, and against requests that are admitted while such statements take
// all slots.
func TestOpenTransactionsGoFirst(t *testing.T) {
	clock := clockwork.NewRealClock()
	l := admitter.New(1, 8, clock)
	first, second := l.AcquireNow(time.Minute), l.AcquireNow(time.Minute)
	for range 2 {
		if _, err := l.Acquire(admitter.Urgency{}, clock.Now().Add(5*time.Millisecond), time.Minute); !errors.Is(err, admitter.ErrNotAdmitted) {
			t.Errorf("a request got a slot: %v", err)
		}
		first.Release()
	}
	second.Release()
	slot, err := l.Acquire(admitter.Urgency{}, clock.Now(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	slot.Release()
}

// Simulates an overload: a primary with three slots gets short writes, reads of
// the caller's own recent writes and reads of old data, half as much again as it
// can run. Its own queue is first in, first out; ordered by urgency, requests that
// are worth more to callers and take less of the server are in time.
func TestAdmissionOrderUnderOverload(t *testing.T) {
	type class struct {
		name               string
		priority           int
		every, work, limit time.Duration
	}
	ms := time.Millisecond
	classes := []class{
		{"writes", 1, 20 * ms, 6 * ms, 150 * ms},
		{"own reads", 2, 6 * ms, 18 * ms, 250 * ms},
		{"old reads", 2, 28 * ms, 30 * ms, 500 * ms},
	}
	const length = 20 * time.Second
	simulate := func(less func(a, b admitter.Urgency) bool) (inTime, asked map[string]int) {
		inTime, asked = map[string]int{}, map[string]int{}
		type job struct {
			class
			at time.Duration
		}
		var queue []job
		var slots [3]time.Duration
		base := time.Unix(0, 0)
		for now := time.Duration(0); now < length; now += ms {
			for _, c := range classes {
				if now%c.every == 0 {
					asked[c.name]++
					queue = append(queue, job{c, now})
				}
			}
			for s := range slots {
				if slots[s] > now || len(queue) == 0 {
					continue
				}
				best := 0
				for i, j := range queue {
					u := admitter.Urgency{Priority: j.priority, Due: base.Add(j.at + j.limit)}
					o := admitter.Urgency{Priority: queue[best].priority, Due: base.Add(queue[best].at + queue[best].limit)}
					if less != nil && less(u, o) {
						best = i
					}
				}
				j := queue[best]
				queue = append(queue[:best], queue[best+1:]...)
				slots[s] = now + j.work
				if now+j.work-j.at <= j.limit {
					inTime[j.name]++
				}
			}
			// Requests that have waited for half of their objective are refused.
			kept := queue[:0]
			for _, j := range queue {
				if now-j.at < j.limit/2 {
					kept = append(kept, j)
				}
			}
			queue = kept
		}
		return inTime, asked
	}
	fifo, asked := simulate(nil)
	ordered, _ := simulate(admitter.Urgency.Before)
	t.Logf("asked %v, in time first in, first out %v, by urgency %v", asked, fifo, ordered)
	if ordered["writes"] < asked["writes"]*99/100 {
		t.Errorf("%d of %d writes were in time", ordered["writes"], asked["writes"])
	}
	worth := func(n map[string]int) int { return 2*n["writes"] + 2*n["own reads"] + n["old reads"] }
	// Reads that accept old data must not crowd out reads of the caller's own writes.
	if ordered["own reads"] <= fifo["own reads"] {
		t.Errorf("%d own reads were in time by urgency, %d first in, first out", ordered["own reads"], fifo["own reads"])
	}
	if worth(ordered) <= worth(fifo) {
		t.Errorf("worth %d by urgency, %d first in, first out", worth(ordered), worth(fifo))
	}
}
