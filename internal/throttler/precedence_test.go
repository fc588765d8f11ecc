package throttler

import (
	"testing"
	"time"
)

// kinds are the shares of a team's operations by priority: purchases, reads of own data and
// reads of old data.
var kinds = []float64{0.135, 0.63, 0.235}

// playKinds runs operations of the team, of the kinds, at random instances.
func (f *fleet) playKinds(team string, perSecond float64, d time.Duration) (asked map[int]int) {
	asked = map[int]int{}
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance()
		for expected := perSecond * step.Seconds(); expected > 0; expected-- {
			if f.rng.Float64() >= expected {
				continue
			}
			priority, x := 0, f.rng.Float64()
			for x >= kinds[priority] && priority < len(kinds)-1 {
				x -= kinds[priority]
				priority++
			}
			asked[priority]++
			f.instances[f.rng.IntN(len(f.instances))].askPriority(team, priority)
		}
	}
	return asked
}

// Guards against a team at several times its usual load whose purchases are refused for its
// reads of old data, and against kinds that starve or a limit that is used less for the order.
func TestUrgentOperationsGetTheTokensFirst(t *testing.T) {
	cases := []struct {
		name      string
		instances int
		// rate is the limit, usual the load before, and perSecond the load, in operations a second.
		rate, usual, perSecond float64
		// least is what each priority must get of its demand, total the team of its rate.
		least []float64
		total float64
	}{
		{"usual load", 61, 173, 108, 108, []float64{0.99, 0.99, 0.99}, 0},
		{"6.9 times", 61, 173, 108, 746, []float64{0.85, 0.1, 0.05}, 1},
		{"6.9 times, few instances", 3, 173, 108, 746, []float64{0.85, 0.1, 0.05}, 1},
		{"purchases alone are more than the rate", 61, 173, 108, 1600, []float64{0.6, 0.02, 0.02}, 1},
		{"a small team", 61, 3.2, 2, 14, []float64{0.1, 0.1, 0.05}, 1},
	}
	for _, c := range cases {
		for seed := range uint64(4) {
			f := newFleet(seed, c.instances, team("t", c.rate, c.rate))
			f.playKinds("t", c.usual, 8*time.Second)
			began, before := f.now, map[int]int{}
			for p, n := range f.ranPriority {
				before[p] = n
			}
			asked := f.playKinds("t", c.perSecond, 7*time.Second)
			for p, least := range c.least {
				got := float64(f.ranPriority[p]-before[p]) / float64(asked[p])
				t.Logf("%s, seed %d, priority %d: %.3f of %d", c.name, seed, p, got, asked[p])
				if got < least {
					t.Errorf("%s, seed %d: %.3f of the operations of priority %d were admitted, want %.3f", c.name, seed, got, p, least)
				}
			}
			rate := f.admittedFrom("t", began) / 7 / c.rate
			t.Logf("%s, seed %d: %.3f of the rate", c.name, seed, rate)
			if rate < c.total {
				t.Errorf("%s, seed %d: %.3f of the rate was used, want %.3f", c.name, seed, rate, c.total)
			}
			if got, most := f.mostInWindow("t", began), f.allowed(team("t", c.rate, c.rate)); got > most {
				t.Errorf("%s, seed %d: %d operations in a window, %d are allowed", c.name, seed, got, most)
			}
		}
	}
}
