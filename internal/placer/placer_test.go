package placer_test

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/placer"
)

func TestChooseRead(t *testing.T) {
	ms := time.Millisecond
	near := placer.Candidate{SameZone: true, Slots: 3, Latency: 20 * ms, OtherZoneCost: 10 * ms}
	far := placer.Candidate{Slots: 3, Latency: 20 * ms, OtherZoneCost: 10 * ms}
	with := func(c placer.Candidate, f func(*placer.Candidate)) placer.Candidate { f(&c); return c }
	for _, tc := range []struct {
		name       string
		candidates []placer.Candidate
		want       int
	}{
		{"none", nil, -1},
		{"near before far", []placer.Candidate{far, near}, 1},
		{"replica in another zone before a slow one in the same zone", []placer.Candidate{far, with(near, func(c *placer.Candidate) { c.Latency = 140 * ms })}, 0},
		{"replica in another zone before one with a queue in the same zone", []placer.Candidate{far, with(near, func(c *placer.Candidate) { c.InFlight = 6 })}, 0},
		{"replica before the primary in the same zone", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Primary = true }), near}, 1},
		{"idle primary in the same zone before a replica in another", []placer.Candidate{far, with(near, func(c *placer.Candidate) { c.Primary = true })}, 1},
		{"replica in another zone before a primary behind a gateway", []placer.Candidate{far, with(near, func(c *placer.Candidate) { c.Primary, c.ViaGateway = true, true })}, 0},
		{"replica that is behind after all others", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Behind = true }), with(far, func(c *placer.Candidate) { c.Primary, c.InFlight = true, 9 })}, 1},
		{"avoided server last", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Avoid = true }), with(far, func(c *placer.Candidate) { c.Behind = true })}, 1},
		{"unknown latency counts as usual", []placer.Candidate{with(near, func(c *placer.Candidate) { c.Latency = 0 }), far}, 0},
	} {
		if got := placer.ChooseRead(tc.candidates, 400*ms, 0.5); got != tc.want {
			t.Errorf("%s: got %d, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against instances that restart together after a power loss and take all
// connections while the servers still count the previous ones.
func TestStartupShare(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name        string
		share, rank int
		age         time.Duration
		want        int
	}{
		{"gateway that knows few others", 32, 0, 100 * ms, 1},
		{"gateway that may not know all others", 32, 0, 300 * ms, 4},
		{"with a small share", 6, 0, 300 * ms, 3},
		{"second gateway that may not know all others", 6, 1, 300 * ms, 1},
		{"third gateway that may not know all others", 6, 2, 300 * ms, 0},
		{"gateway", 32, 0, 600 * ms, 16},
		{"gateway with a share of four", 4, 1, 2900 * ms, 2},
		{"gateway with a share of one", 1, 2, 600 * ms, 1},
		{"no gateway, gateways may be about to start", 1, -1, 300 * ms, 0},
		{"no gateway", 1, -1, 600 * ms, 1},
	} {
		if got := placer.StartupShare(46, tc.share, tc.rank, tc.age); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against slots that are released while an ordinary request still runs,
// and against lost answers that occupy a server's slots until the statement
// timeout.
func TestSlotTimeout(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct{ latency, least, most time.Duration }{
		{0, 100 * ms, 200 * ms},
		{6 * ms, 45 * ms, 150 * ms},
		{30 * ms, 220 * ms, 400 * ms},
		{900 * ms, 4500 * ms, 8000 * ms},
	} {
		if got := placer.SlotTimeout(tc.latency); got < tc.least || got > tc.most {
			t.Errorf("slot timeout for requests of %v is %v, want %v to %v", tc.latency, got, tc.least, tc.most)
		}
	}
}

// Guards against a request that waits although it cannot get a slot within the
// time that it may wait: its caller could have asked elsewhere meanwhile.
func TestAdmitsWithinMaxWait(t *testing.T) {
	ms := time.Millisecond
	load := placer.Load{Open: 8, Idle: 8, Slots: 3, Running: 3, QueuedAhead: 4, Latency: 60 * ms}
	for _, tc := range []struct {
		name           string
		left, patience time.Duration
		want           bool
	}{
		{"expected wait within the maximum", 250 * ms, 125 * ms, true},
		{"maximum wait too short", 250 * ms, 30 * ms, false},
		{"maximum wait long enough, but answer late", 150 * ms, 125 * ms, false},
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
		{"slot free", placer.Load{Open: 3, Idle: 1, Slots: 3, Running: 2, QueuedAhead: 9, Latency: 50 * ms}, 60 * ms, true},
		{"few queued ahead", placer.Load{Open: 3, Idle: 1, Slots: 3, Running: 3, QueuedAhead: 2, Latency: 50 * ms}, 250 * ms, true},
		{"many queued ahead", placer.Load{Open: 3, Idle: 1, Slots: 3, Running: 3, QueuedAhead: 14, Latency: 50 * ms}, 250 * ms, false},
		{"already late", placer.Load{Open: 2, Latency: 50 * ms}, 10 * ms, false},
	} {
		if got := tc.load.Admits(tc.left, tc.left); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}

// Simulates an overload: reads with an objective of 250 ms arrive at a primary
// faster than its two connections serve them, as when all replicas are behind.
// Without admission control all of them wait, and soon none is in time; with it
// the admitted ones are, and the others are refused at once.
func TestAdmissionUnderOverload(t *testing.T) {
	const (
		service   = 50 * time.Millisecond
		interval  = 20 * time.Millisecond
		objective = 250 * time.Millisecond
		arrivals  = 500
		conns     = 2
	)
	simulate := func(admit bool) (inTime, late, refused int) {
		var free [conns]time.Duration
		for i := range arrivals {
			now := time.Duration(i) * interval
			first := 0
			for k := range free {
				if free[k] < free[first] {
					first = k
				}
			}
			wait := max(free[first]-now, 0)
			waiting := int(wait / service * conns)
			load := placer.Load{Open: conns, Waiting: waiting, Latency: service}
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
	inTime, late, _ := simulate(false)
	gotInTime, gotLate, refused := simulate(true)
	t.Logf("without admission %d in time, %d late; with it %d in time, %d late, %d refused", inTime, late, gotInTime, gotLate, refused)
	if gotInTime < 4*inTime || gotLate > arrivals/50 {
		t.Errorf("with admission %d in time and %d late, without %d and %d", gotInTime, gotLate, inTime, late)
	}
}
