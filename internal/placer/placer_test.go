package placer_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/placer"
)

func TestChooseRead(t *testing.T) {
	ms := time.Millisecond
	near := placer.Candidate{SameZone: true, Slots: 3, Latency: 20 * ms}
	far := placer.Candidate{Slots: 3, Latency: 20 * ms}
	with := func(c placer.Candidate, f func(*placer.Candidate)) placer.Candidate { f(&c); return c }
	for _, tc := range []struct {
		name       string
		candidates []placer.Candidate
		want       int
	}{
		{"none", nil, -1},
		{"near before far", []placer.Candidate{far, near}, 1},
		{"far replica before a slow near one", []placer.Candidate{far, with(near, func(c *placer.Candidate) { c.Latency = 140 * ms })}, 0},
		{"far replica before a near one with a queue", []placer.Candidate{far, with(near, func(c *placer.Candidate) { c.InFlight = 6 })}, 0},
		{"replica before the primary at the same distance", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Primary = true }), near}, 1},
		{"near primary before a far replica while it is idle", []placer.Candidate{far, with(near, func(c *placer.Candidate) { c.Primary = true })}, 1},
		{"far replica before a near primary whose work passes a gateway", []placer.Candidate{far, with(near, func(c *placer.Candidate) { c.Primary, c.ViaGateway = true, true })}, 0},
		{"what is behind comes after all others", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Behind = true }), with(far, func(c *placer.Candidate) { c.Primary, c.InFlight = true, 9 })}, 1},
		{"what is avoided comes last", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Avoid = true }), with(far, func(c *placer.Candidate) { c.Behind = true })}, 1},
		{"unknown latency counts as usual", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Latency = 0 }), far}, 0},
	} {
		if got := placer.ChooseRead(tc.candidates); got != tc.want {
			t.Errorf("%s: got %d, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against instances that return together after a loss of power while the
// servers still count their connections of before.
func TestStartupShare(t *testing.T) {
	for _, tc := range []struct{ share, want int }{{4, 2}, {1, 1}} {
		if got := placer.StartupShare(tc.share); got != tc.want {
			t.Errorf("start share of %d is %d, want %d", tc.share, got, tc.want)
		}
	}
}

// Guards against turns that end while an ordinary request still runs, and against
// lost answers that hold a server's turns for a caller's whole time.
func TestSlotTimeout(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct{ latency, least, most time.Duration }{
		{0, 100 * ms, 200 * ms},
		{6 * ms, 45 * ms, 150 * ms},
		{30 * ms, 220 * ms, 400 * ms},
		{900 * ms, 4500 * ms, 8000 * ms},
	} {
		if got := placer.SlotTimeout(tc.latency); got < tc.least || got > tc.most {
			t.Errorf("turn of requests of %v may last %v, want %v to %v", tc.latency, got, tc.least, tc.most)
		}
	}
}

// Guards against a request that is kept although its turn cannot come while it
// may wait: its caller could have asked elsewhere meanwhile.
func TestAdmitsWithinMaxWait(t *testing.T) {
	ms := time.Millisecond
	load := placer.Load{Open: 8, Idle: 8, Slots: 3, Running: 3, QueuedAhead: 4, Latency: 60 * ms}
	for _, tc := range []struct {
		name           string
		left, patience time.Duration
		want           bool
	}{
		{"wait within patience", 250 * ms, 125 * ms, true},
		{"other servers are left to ask", 250 * ms, 30 * ms, false},
		{"patient, but late", 150 * ms, 125 * ms, false},
	} {
		if got := load.Admits(tc.left, tc.patience); got != tc.want {
			t.Errorf("%s: %v, expected wait %v", tc.name, got, load.Wait())
		}
	}
}

func TestAdmits(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		name string
		load placer.Load
		left time.Duration
		want bool
	}{
		{"idle connection", placer.Load{Open: 2, Idle: 1, Latency: 400 * ms}, 250 * ms, true},
		{"no connection yet", placer.Load{Latency: 400 * ms}, 250 * ms, true},
		{"short queue", placer.Load{Open: 2, Waiting: 1, Latency: 50 * ms}, 250 * ms, true},
		{"long queue", placer.Load{Open: 2, Waiting: 9, Latency: 50 * ms}, 250 * ms, false},
		{"turn free", placer.Load{Open: 3, Idle: 1, Slots: 3, Running: 2, QueuedAhead: 9, Latency: 50 * ms}, 60 * ms, true},
		{"few before it", placer.Load{Open: 3, Idle: 1, Slots: 3, Running: 3, QueuedAhead: 2, Latency: 50 * ms}, 250 * ms, true},
		{"many before it", placer.Load{Open: 3, Idle: 1, Slots: 3, Running: 3, QueuedAhead: 14, Latency: 50 * ms}, 250 * ms, false},
		{"late already", placer.Load{Open: 2, Latency: 50 * ms}, 10 * ms, false},
	} {
		if got := tc.load.Admits(tc.left, tc.left); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}

// Plays the load that admission answers: reads with an objective of 250 ms
// arrive at a primary faster than its two connections serve them, as when all
// replicas are behind. Without admission all wait, and after a while none is in
// time; with it those that are admitted are. The callers that are refused know
// at once.
func TestAdmissionUnderOverload(t *testing.T) {
	const (
		service   = 50 * time.Millisecond
		interval  = 20 * time.Millisecond
		objective = 250 * time.Millisecond
		arrivals  = 500
		links     = 2
	)
	play := func(admit bool) (inTime, late, refused int) {
		var free [links]time.Duration
		for i := range arrivals {
			now := time.Duration(i) * interval
			first := 0
			for k := range free {
				if free[k] < free[first] {
					first = k
				}
			}
			wait := max(free[first]-now, 0)
			waiting := int(wait / service * links)
			load := placer.Load{Open: links, Waiting: waiting, Latency: service}
			if wait == 0 {
				load.Idle = 1
			}
			if admit && !load.Admits(objective, objective) {
				refused++
				continue
			}
			free[first] = now + wait + service
			if wait+service <= objective {
				inTime++
			} else {
				late++
			}
		}
		return inTime, late, refused
	}
	inTime, late, _ := play(false)
	gotInTime, gotLate, refused := play(true)
	t.Logf("without admission %d in time, %d late; with it %d in time, %d late, %d refused", inTime, late, gotInTime, gotLate, refused)
	if gotInTime < 4*inTime || gotLate > arrivals/50 {
		t.Errorf("with admission %d in time and %d late, without %d and %d", gotInTime, gotLate, inTime, late)
	}
}
