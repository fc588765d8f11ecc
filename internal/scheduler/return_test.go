package scheduler_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/placer"
	"marigoldhub.example/hub/internal/scheduler"
)

// returning is a caller of a play in which refused callers come back.
type returning struct {
	kind  int
	team  string
	first time.Duration
	// took is the slot time that the request needs.
	took  time.Duration
	tries int
}

// returnOutcome also counts the tries, and how long refused requests were held in vain.
type returnOutcome struct {
	outcome
	tries int
	held  time.Duration
}

func (o returnOutcome) String() string {
	n := max(o.inTime+o.late+o.refused, 1)
	return fmt.Sprintf("%s, %.2f tries, refused ones held %v", o.outcome, float64(o.tries)/float64(n), (o.held / time.Duration(max(o.refused, 1))).Round(ms))
}

// playReturning runs the crowd's requests with four seeds and lets refused callers come
// back, twice at most. Limit is how long requests wait; one whose expected wait is longer is
// refused at once. Rate is the factor of all teams' load over time.
func playReturning(c crowd, limit func(k kind) time.Duration, rate func(now time.Duration) float64) map[string][]returnOutcome {
	counts := map[string][]returnOutcome{hotTeam: make([]returnOutcome, len(c.kinds)), "others": make([]returnOutcome, len(c.kinds))}
	for seed := uint64(1); seed <= 4; seed++ {
		playReturningSeed(c, seed, limit, rate, counts)
	}
	return counts
}

func playReturningSeed(c crowd, seed uint64, limit func(k kind) time.Duration, rate func(now time.Duration) float64, counts map[string][]returnOutcome) {
	const tries = 3
	r := rand.New(rand.NewPCG(seed, 35))
	start := time.Unix(0, 0)
	q := &scheduler.Queue[*returning]{}
	count := func(w *returning) *returnOutcome {
		if w.team == hotTeam {
			return &counts[hotTeam][w.kind]
		}
		return &counts["others"][w.kind]
	}
	var h events
	free := slots
	var now time.Duration
	after := func(d time.Duration, run func()) { heap.Push(&h, event{now + d, run}) }
	exponential := func(r *rand.Rand, mean time.Duration) time.Duration {
		return time.Duration(-math.Log(1-r.Float64()) * float64(mean))
	}
	mean := 0.0
	for _, k := range c.kinds {
		mean += k.share * k.service.Seconds()
	}
	var admit func()
	admit = func() {
		for ; free > 0; free-- {
			e, _ := q.Pop(start.Add(now))
			if e == nil {
				return
			}
			w := e.Value
			took := w.took
			after(took, func() {
				if now-w.first <= c.kinds[w.kind].aim {
					count(w).inTime++
				} else {
					count(w).late++
				}
				q.Finish(e, took, true)
				free++
				admit()
			})
		}
	}
	var try func(w *returning)
	refuse := func(w *returning, held time.Duration) {
		if w.tries == tries {
			count(w).refused++
			count(w).held += held
			return
		}
		after(50*ms+exponential(r, 50*ms), func() { try(w) })
	}
	try = func(w *returning) {
		w.tries++
		count(w).tries++
		k := c.kinds[w.kind]
		began := now
		j := scheduler.Job{Priority: k.priority, Team: w.team, Due: start.Add(now + k.aim)}
		if expected := time.Duration(float64(q.CountAhead(j, start.Add(now))+1) * mean / slots * float64(time.Second)); free == 0 && expected > limit(k) {
			refuse(w, 0)
			return
		}
		e := q.Push(j, w)
		after(limit(k), func() {
			if q.Remove(e) {
				refuse(w, now-began)
			}
		})
		if q.Len() > maxQueue {
			out := q.Evict(start.Add(now))
			refuse(out.Value, 0)
		}
		admit()
	}
	perTeam := c.usual * slots / mean / float64(c.teams)
	for i := range c.teams {
		team, ofTeam := fmt.Sprint("team-", i), perTeam
		if i == 0 {
			team, ofTeam = hotTeam, perTeam*c.hot
		}
		for k, kind := range c.kinds {
			// All policies get the same requests.
			r := rand.New(rand.NewPCG(seed, uint64(100+10*i+k)))
			var next func()
			next = func() {
				try(&returning{kind: k, team: team, first: now, took: kind.service/2 + exponential(r, kind.service/2)})
				after(exponential(r, time.Duration(float64(time.Second)/(ofTeam*kind.share*rate(now)))), next)
			}
			after(exponential(r, time.Duration(float64(time.Second)/(ofTeam*kind.share))), next)
		}
	}
	for h.Len() > 0 && h[0].at < playTime {
		e := heap.Pop(&h).(event)
		now = e.at
		e.run()
	}
}

// Plays calm, waves, bursts, a team at many times its usual and a lasting overload, in which
// refused callers come back. Guards against reads that are refused after half of their
// objective, and return to compete with those that have just arrived, although they could
// be answered in time; and against waits that take slots from requests in time.
func TestReadsWaitAsLongAsTheyCanBeInTime(t *testing.T) {
	kinds := []kind{{"write", 0, 5 * ms, 150 * ms, 0.13}, {"own read", 1, 14 * ms, 250 * ms, 0.63}, {"old read", 2, 22 * ms, 800 * ms, 0.24}}
	half := func(k kind) time.Duration {
		if k.priority == 0 {
			return k.aim
		}
		return k.aim / 2
	}
	inTime := func(k kind) time.Duration {
		if k.priority == 0 {
			return k.aim
		}
		received := time.Unix(9, 0)
		return placer.ReadWaitDeadline(received, k.aim, k.service).Sub(received)
	}
	for _, tc := range []struct {
		name       string
		usual, hot float64
		rate       func(time.Duration) float64
		// gain is by how much more of the least urgent reads of all teams are in time.
		gain float64
	}{
		{"calm", 0.7, 1, func(time.Duration) float64 { return 1 }, 0},
		{"wave", 0.9, 1, func(now time.Duration) float64 { return 1 + 0.27*math.Sin(2*math.Pi*now.Seconds()/11) }, 0.04},
		{"bursts", 0.7, 1, func(now time.Duration) float64 {
			if now%(6*time.Second) < 3*time.Second {
				return 1.7
			}
			return 1
		}, 0.04},
		{"hot team", 0.8, 7.5, func(time.Duration) float64 { return 1 }, -0.02},
		{"overload", 1.3, 1, func(time.Duration) float64 { return 1 }, -0.02},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := crowd{kinds: kinds, teams: 8, usual: tc.usual, hot: tc.hot}
			before, after := playReturning(c, half, tc.rate), playReturning(c, inTime, tc.rate)
			for i, k := range kinds {
				for _, who := range []string{"others", hotTeam} {
					b, a := before[who][i], after[who][i]
					t.Logf("%s, %s: half of the objective %s; as long as in time %s", k.name, who, b, a)
					least := -0.01
					if i == len(kinds)-1 {
						least = tc.gain
					}
					if a.share() < b.share()+least {
						t.Errorf("%s, %s: %.3f are in time, %.3f before, want a difference of %.2f", k.name, who, a.share(), b.share(), least)
					}
				}
			}
		})
	}
}
