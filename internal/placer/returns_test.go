package placer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/placer"
)

// Guards against refused callers that return before anything has changed, much too late,
// or all at the same moment.
func TestBookOneReturn(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		name        string
		refusal     placer.Refusal
		least, most time.Duration
	}{
		{"the earliest counts", placer.Refusal{Estimates: []time.Duration{2 * time.Second, 400 * ms}}, 400 * ms, 600 * ms},
		{"already past", placer.Refusal{Estimates: []time.Duration{-time.Second}}, 50 * ms, 75 * ms},
		{"far too long", placer.Refusal{Estimates: []time.Duration{time.Hour}}, 5 * time.Second, 7500 * ms},
		{"one of many instances", placer.Refusal{Estimates: []time.Duration{0}, Interval: 200 * ms, Patience: time.Second}, 50 * ms, 250 * ms},
		{"not after the caller has given up", placer.Refusal{Estimates: []time.Duration{700 * ms}, Patience: 800 * ms}, 700 * ms, 800 * ms},
		{"cannot be served before the caller gives up", placer.Refusal{Estimates: []time.Duration{time.Second}, Patience: 800 * ms}, time.Second, 1500 * ms},
	} {
		book := func(random float64) time.Duration {
			return new(placer.Returns).Book(time.Unix(9, 0), tc.refusal, random)
		}
		if got := book(0); got != tc.least {
			t.Errorf("%s: at least %v, want %v", tc.name, got, tc.least)
		}
		if got := book(0.999999); got > tc.most || got < tc.most-ms {
			t.Errorf("%s: at most %v, want %v", tc.name, got, tc.most)
		}
	}
}

// Guards against a delay that does not rise while requests are refused again and again, or
// that stays after that.
func TestDelayRisesWithRefusals(t *testing.T) {
	ms := time.Millisecond
	var r placer.Returns
	now := time.Unix(9, 0)
	f := placer.Refusal{Estimates: []time.Duration{0}, Patience: 5 * time.Second, Interval: 100 * ms}
	last := time.Duration(0)
	for range 10 {
		d := r.Book(now, f, 0)
		if d <= last {
			t.Errorf("%v after %v", d, last)
		}
		last = d
	}
	if r.IsOver(now) || !r.IsOver(now.Add(2*time.Second)) {
		t.Errorf("places are taken: %v at once, %v after two seconds", !r.IsOver(now), !r.IsOver(now.Add(2*time.Second)))
	}
	if d := r.Book(now.Add(2*time.Second), f, 0); d != 50*ms {
		t.Errorf("%v after a time without refusals", d)
	}
}

// Guards against places that callers take who cannot be served before their timeout: they
// would delay the return of those who can.
func TestLateCallersTakeNoPlaces(t *testing.T) {
	ms := time.Millisecond
	now := time.Unix(9, 0)
	for _, tc := range []struct {
		name string
		late placer.Refusal
	}{
		{"the estimate is after the timeout", placer.Refusal{Estimates: []time.Duration{time.Second}, Patience: 800 * ms, Interval: 20 * ms}},
		{"the estimate is the timeout", placer.Refusal{Estimates: []time.Duration{800 * ms}, Patience: 800 * ms, Interval: 20 * ms}},
		{"the timeout has passed", placer.Refusal{Estimates: []time.Duration{0}, Patience: -ms, Interval: 20 * ms}},
	} {
		var r placer.Returns
		for range 100 {
			if d := r.Book(now, tc.late, 0.5); d < 50*ms || d > 7500*ms {
				t.Errorf("%s: a late caller returns after %v", tc.name, d)
			}
		}
		if d := r.Book(now, placer.Refusal{Estimates: []time.Duration{0}, Patience: 800 * ms, Interval: 20 * ms}, 0.9); d > 75*ms {
			t.Errorf("%s: a caller in time returns after %v, want at most 75ms", tc.name, d)
		}
	}
}

// Guards against callers of an outage who return at a constant rate however long it lasts,
// or much later than its usual end.
func TestOutageLeft(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct{ elapsed, usual, want time.Duration }{
		{0, 0, 50 * ms},
		{400 * ms, 0, 400 * ms},
		{0, 900 * ms, 900 * ms},
		{700 * ms, 900 * ms, 200 * ms},
		{900 * ms, 900 * ms, 50 * ms},
		{1500 * ms, 900 * ms, 600 * ms},
	} {
		if got := placer.OutageLeft(tc.elapsed, tc.usual); got != tc.want {
			t.Errorf("%v of usually %v: %v, want %v", tc.elapsed, tc.usual, got, tc.want)
		}
	}
}

// returnPlay is a burst of requests at a primary of four slots that has other work as
// well. Requests are refused whose wait would be too long, and their callers come back when
// the instance that refused them says so, twice at most.
type returnPlay struct {
	instances, burst int
	// isUneven is set if all callers of the burst are at one instance.
	isUneven bool
}

// returnOutcome is what became of the callers of the burst.
type returnOutcome struct {
	served, tries int
	// mostReturns is the largest number of callers that came back within 50 ms.
	mostReturns int
	// late are callers told to return after their statement's timeout although the forecast
	// was before it.
	late int
}

const (
	returnWork     = 15 * time.Millisecond
	returnMaxWait  = 125 * time.Millisecond
	returnPatience = 800 * time.Millisecond
	returnWindow   = 50 * time.Millisecond
)

// run plays the load. Delay says when a caller that the instance refused comes back.
func (p returnPlay) run(delay func(instance int, now time.Time, f placer.Refusal, random float64) time.Duration) returnOutcome {
	const (
		length   = 4 * time.Second
		step     = time.Millisecond
		ordinary = 160 // requests a second, of the 266 that the server can run
		deadline = 2 * time.Second
		maxTries = 3
	)
	type caller struct {
		instance, tries int
		arrived         time.Duration
	}
	rnd := rand.New(rand.NewPCG(7, 35))
	var server queue
	var out returnOutcome
	coming := map[time.Duration][]caller{}
	for i := range p.burst {
		at := time.Second + time.Duration(rnd.Int64N(int64(100*time.Millisecond))).Truncate(step)
		c := caller{instance: i % p.instances, arrived: at}
		if p.isUneven {
			c.instance = 0
		}
		coming[at] = append(coming[at], c)
	}
	returns := map[time.Duration]int{}
	for now := time.Duration(0); now < length; now += step {
		if rnd.Float64() < ordinary*step.Seconds() && server.wait(now) <= returnMaxWait {
			server.add(now, returnWork)
		}
		for _, c := range coming[now] {
			out.tries++
			if now > c.arrived {
				returns[now.Truncate(returnWindow)]++
			}
			wait := server.wait(now)
			if wait <= returnMaxWait {
				server.add(now, returnWork)
				out.served++
				continue
			}
			f := placer.Refusal{
				Estimates: []time.Duration{wait - returnMaxWait}, Patience: returnPatience,
				Interval: placer.ReturnInterval(p.instances, 4, returnWork),
			}
			d := delay(c.instance, time.Unix(0, int64(now)), f, rnd.Float64())
			if d > returnPatience {
				out.late++
			}
			c.tries++
			if at := (now + d).Truncate(step) + step; c.tries < maxTries && at <= c.arrived+deadline {
				coming[at] = append(coming[at], c)
			}
		}
	}
	for _, n := range returns {
		out.mostReturns = max(out.mostReturns, n)
	}
	return out
}

// Plays a burst of several times what a primary can run in the time that a request may
// wait, at an instance each or all at one. Guards against refused callers that come back as
// a second burst, that try over and over, and that are told to come back too late.
func TestRefusedCallersFormNoSecondBurst(t *testing.T) {
	for _, tc := range []struct {
		name string
		returnPlay
	}{
		{"callers at all instances", returnPlay{instances: 35, burst: 400}},
		{"all callers at one instance", returnPlay{instances: 35, burst: 200, isUneven: true}},
		{"one instance", returnPlay{instances: 1, burst: 200}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := tc.run(func(_ int, _ time.Time, f placer.Refusal, random float64) time.Duration {
				// Spread over half of the estimate, whoever else was refused.
				least := max(f.Estimates[0], returnWindow)
				return least + time.Duration(random*float64(least)/2)
			})
			at := make([]placer.Returns, tc.instances)
			after := tc.run(func(i int, now time.Time, f placer.Refusal, random float64) time.Duration {
				return at[i].Book(now, f, random)
			})
			t.Logf("spread over half of the estimate %+v, by places %+v", before, after)
			// Half of the callers in one window is a second burst.
			if before.mostReturns < tc.burst/2 {
				t.Errorf("the load does not show the fault: %d of %d callers return within %v", before.mostReturns, tc.burst, returnWindow)
			}
			if after.mostReturns > tc.burst/8 {
				t.Errorf("%d of %d callers return within %v", after.mostReturns, tc.burst, returnWindow)
			}
			if after.tries > before.tries {
				t.Errorf("%d tries, %d before", after.tries, before.tries)
			}
			if after.served < before.served {
				t.Errorf("%d callers are served, %d before", after.served, before.served)
			}
			if after.late > 0 {
				t.Errorf("%d callers are told to return after their timeout", after.late)
			}
		})
	}
}

// Guards against tries at servers that refuse them, and against a server with room that is
// taken for full.
func TestIsFull(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		name      string
		candidate placer.Candidate
		maxWait   time.Duration
		want      bool
	}{
		{"nothing is reported", placer.Candidate{}, 50 * ms, false},
		{"a shorter wait", placer.Candidate{Wait: 40 * ms}, 50 * ms, false},
		{"a longer wait", placer.Candidate{Wait: 60 * ms}, 50 * ms, true},
		{"no time is left", placer.Candidate{}, -ms, true},
		{"it refused a moment ago", placer.Candidate{Avoid: true}, 50 * ms, true},
	} {
		if got := tc.candidate.IsFull(tc.maxWait); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
