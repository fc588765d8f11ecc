package throttler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// slowAnswers makes answers of the instances take up to the time.
func (f *fleet) slowAnswers(limit time.Duration, isSlow func(in *instance) bool) {
	f.answerTime = func(in *instance) time.Duration {
		if !isSlow(in) {
			return 0
		}
		return time.Duration(f.rng.Int64N(int64(limit)))
	}
}

// Guards against a fleet that starts, while its instances list only those that started before them,
// and whose instances then ask one candidate after the other for ever: none gets half of the refill
// while each gets a twelfth.
func TestInstancesComeTogetherAfterAStart(t *testing.T) {
	const instances = 61
	teams := []testTeam{team("large", 300, 300), team("few", 30, 30)}
	f := newFleet(12, instances, teams...)
	full := f.allPeers()
	f.rng.Shuffle(len(full), func(i, j int) { full[i], full[j] = full[j], full[i] })
	for _, in := range f.instances {
		in.peers = nil
		in.kill(time.Hour)
	}
	for i, p := range full {
		f.run(20*time.Millisecond, nil)
		in := f.byName[p.Name]
		in.down, in.peers = f.now, full[:i+1]
	}
	// The lists of the others are complete within some seconds.
	for _, in := range f.instances {
		f.run(50*time.Millisecond, nil)
		in.peers = full
	}
	f.run(2*time.Second, nil)
	for _, in := range f.instances {
		in.changes = 0
	}
	loads := []load{{"large", 0, 187, 0, instances - 1}, {"few", 0, 18, 10, 12}}
	from, before := f.now, total(f.asked)
	f.play(6*time.Second, loads)
	changes := 0
	for _, in := range f.instances {
		changes += in.changes
	}
	t.Logf("%d changes", changes)
	if most := instances; changes > most {
		t.Errorf("%d changes of the allocator in 6 s, more than %d", changes, most)
	}
	for _, tm := range teams {
		got := f.admittedFrom(tm.Name, from) / float64(total(f.asked)[tm.Name]-before[tm.Name])
		t.Logf("%s: %.3f of the operations were admitted", tm.Name, got)
		if got < 0.95 {
			t.Errorf("%s: %.3f of the operations were admitted", tm.Name, got)
		}
	}
}

// Guards against instances that go back and forth between allocators while some of them answer
// slowly: the refill is scattered over many candidates then, and teams are refused what is
// theirs. The teams ask for their usual load.
func TestInstancesStayTogether(t *testing.T) {
	const (
		instances, teams = 61, 20
		usualPerSecond   = 15.0
		measured         = 8 * time.Second
	)
	// isEach reports whether it is each n-th instance, beginning with the first candidate.
	isEach := func(f *fleet, n int) func(in *instance) bool {
		first := f.allocators()
		return func(in *instance) bool {
			if i := slices.Index(first, in); i >= 0 {
				return i%n == 0
			}
			return slices.Index(f.instances, in)%n == 0
		}
	}
	cases := []struct {
		name    string
		disturb func(f *fleet)
		// mostChanges bounds the changes of the allocator at an instance, and least the share of
		// the operations that is admitted.
		// Operations of the model wait for at most 40 ms, so that some are lost to slow answers.
		mostChanges, least float64
	}{
		{"all answer at once", func(*fleet) {}, 0, 0.99},
		{"the first candidate is slow now and then", func(f *fleet) {
			first := f.allocators()[0]
			f.slowAnswers(80*time.Millisecond, func(in *instance) bool { return in == first })
		}, 4, 0.72},
		{"the first candidate is slow", func(f *fleet) {
			first := f.allocators()[0]
			f.slowAnswers(150*time.Millisecond, func(in *instance) bool { return in == first })
		}, 3, 0.9},
		{"each third instance is slow", func(f *fleet) { f.slowAnswers(150*time.Millisecond, isEach(f, 3)) }, 3, 0.9},
		{"each second instance is slow", func(f *fleet) { f.slowAnswers(150*time.Millisecond, isEach(f, 2)) }, 3, 0.9},
		{"all are slow now and then", func(f *fleet) {
			f.slowAnswers(80*time.Millisecond, func(*instance) bool { return true })
		}, 7, 0.4},
		{"each third instance is slow and half do not list the first candidate", func(f *fleet) {
			f.slowAnswers(150*time.Millisecond, isEach(f, 3))
			first := f.allocators()[0].name
			for _, in := range f.instances[:instances/2] {
				in.peers, in.roster = withoutPeer(in.peers, first), roster{}
			}
		}, 3, 0.9},
		{"each third instance has pauses", func(f *fleet) {
			for i := 0; i < instances; i += 3 {
				f.pausing = append(f.pausing, f.instances[i])
			}
			f.pausing = append(f.pausing, f.allocators()[0], f.allocators()[3])
		}, 3, 0.8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var all []testTeam
			var loads []load
			for i := range teams {
				tm := team(fmt.Sprintf("t%d", i), 1.6*usualPerSecond, 1.6*usualPerSecond)
				all = append(all, tm)
				// Half of the teams have callers at a few instances only.
				first, last := 0, instances-1
				if i%2 == 0 {
					first, last = 3*i, 3*i+3
				}
				loads = append(loads, load{tm.Name, 0, usualPerSecond, first, last})
			}
			f := newFleet(11, instances, all...)
			f.play(2*time.Second, nil)
			f.play(3*time.Second, loads)
			c.disturb(f)
			for _, in := range f.instances {
				in.changes = 0
			}
			from, before := f.now, total(f.asked)
			f.play(measured, loads)
			asked, admitted, changes := 0, 0.0, 0
			for _, tm := range all {
				asked += total(f.asked)[tm.Name] - before[tm.Name]
				admitted += f.admittedFrom(tm.Name, from)
				if n := f.mostInWindow(tm.Name, time.Time{}); n > f.allowed(tm) {
					t.Errorf("%s: %d operations ran in a window, more than %d", tm.Name, n, f.allowed(tm))
				}
			}
			for _, in := range f.instances {
				changes += in.changes
			}
			share, each := admitted/float64(asked), float64(changes)/instances
			t.Logf("%d changes, %.1f at each instance; %.3f of %d operations were admitted", changes, each, share, asked)
			if each > c.mostChanges {
				t.Errorf("%.1f changes of the allocator at each instance, more than %.0f", each, c.mostChanges)
			}
			if share < c.least {
				t.Errorf("%.3f of the operations were admitted, less than %.2f", share, c.least)
			}
		})
	}
}
