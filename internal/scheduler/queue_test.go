package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"marigoldhub.example/hub/internal/scheduler"
)

var now = time.Unix(1000, 0)

func job(priority int, team string, due time.Duration) scheduler.Job {
	return scheduler.Job{Priority: priority, Team: team, Due: now.Add(due)}
}

// Guards against another order where no request has a team, or one team sends all requests
// of a priority: by priority and due time, and equal ones as they came, those that are late
// behind the others of their priority; and against a request that is served after its removal,
// or whose removal changes the order of the others.
func TestOneTeamGoesByDueTime(t *testing.T) {
	properties := gopter.NewProperties(nil)
	order := func(team string, priorities int) func(keys []int, running int) bool {
		return func(keys []int, running int) bool {
			q := &scheduler.Queue[int]{}
			for range running {
				q.Start(job(0, team, 0))
			}
			type item struct {
				scheduler.Job
				serial int
			}
			var want []item
			var entries []*scheduler.Entry[int]
			for i, k := range keys {
				j := job(k%priorities, team, time.Duration(k/3-2)*time.Second)
				ahead := q.CountAhead(j, now)
				if n := len(slices.DeleteFunc(slices.Clone(want), func(o item) bool { return compare(o.Job, j) > 0 })); n != ahead {
					return false
				}
				entries = append(entries, q.Push(j, i))
				want = append(want, item{j, i})
			}
			if len(want) > 0 {
				i := running % len(want)
				if !q.Remove(entries[i]) || q.Remove(entries[i]) {
					return false
				}
				want = slices.Delete(want, i, i+1)
			}
			slices.SortStableFunc(want, func(a, b item) int { return compare(a.Job, b.Job) })
			for _, w := range want {
				if e, _ := q.Pop(now); e == nil || e.Value != w.serial {
					return false
				}
			}
			return q.Len() == 0
		}
	}
	properties.Property("without teams", prop.ForAll(order("", 3), gen.SliceOf(gen.IntRange(0, 30)), gen.IntRange(0, 9)))
	properties.Property("one team, one priority", prop.ForAll(order("a", 1), gen.SliceOf(gen.IntRange(0, 30)), gen.IntRange(0, 9)))
	properties.TestingRun(t)
}

// compare is the order without teams.
func compare(a, b scheduler.Job) int {
	aLate, bLate := now.After(a.Due), now.After(b.Due)
	switch {
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case aLate != bLate && aLate:
		return 1
	case aLate != bLate:
		return -1
	}
	return a.Due.Compare(b.Due)
}

// Guards against a team above its share that gets a slot while a request of a team within
// its share waits, and against a slot that stays free while a request waits.
func TestTeamWithinItsShareGoesFirst(t *testing.T) {
	for _, tc := range []struct {
		name string
		// running are the teams whose requests have got slots before.
		running, waiting []string
		want             []string
	}{
		{"one team has used slots", []string{"a", "a", "a"}, []string{"a", "a", "b"}, []string{"b", "a", "a"}},
		{"a team at the mean is within its share", []string{"a", "b", "a"}, []string{"a", "b", "c"}, []string{"b", "c", "a"}},
		{"the account grows with each slot", nil, []string{"a", "a", "a", "b"}, []string{"a", "b", "a", "a"}},
		{"nobody else waits", []string{"a", "a", "a", "a"}, []string{"a", "a"}, []string{"a", "a"}},
	} {
		q := &scheduler.Queue[string]{}
		var entries []*scheduler.Entry[string]
		for _, team := range tc.running {
			entries = append(entries, q.Start(job(1, team, time.Second)))
		}
		for i, team := range tc.waiting {
			// The later a request comes, the later it is due.
			q.Push(job(1, team, time.Second+time.Duration(i)*ms), team)
		}
		var got []string
		for e, _ := q.Pop(now); e != nil; e, _ = q.Pop(now) {
			got = append(got, e.Value)
			entries = append(entries, e)
		}
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
		for _, e := range entries {
			q.Finish(e, 10*ms, true)
		}
	}
}

// Guards against shares by the number of requests: a team with requests that take four
// times as long gets a fourth of the requests.
func TestSharesAreOfSlotTime(t *testing.T) {
	q := &scheduler.Queue[string]{}
	cost := map[string]time.Duration{"long": 40 * ms, "short": 10 * ms}
	used := map[string]time.Duration{}
	for team := range cost {
		q.Push(job(1, team, time.Hour), team)
		q.Push(job(1, team, time.Hour), team)
	}
	for range 1000 {
		e, _ := q.Pop(now)
		used[e.Value] += cost[e.Value]
		q.Finish(e, cost[e.Value], true)
		q.Push(job(1, e.Value, time.Hour), e.Value)
	}
	if r := float64(used["long"]) / float64(used["short"]); r < 0.95 || r > 1.05 {
		t.Errorf("slot time %v, want equal parts", used)
	}
}

// Guards against a priority that gets nothing while more urgent requests of teams take all
// slots, against a floor that takes more than it should, and against a floor without teams.
func TestFloor(t *testing.T) {
	for _, tc := range []struct {
		name        string
		team        string
		least, most int
	}{
		{"teams", "a", 40, 60},
		{"without teams", "", 0, 0},
	} {
		q := &scheduler.Queue[int]{}
		q.Push(job(2, tc.team, time.Hour), 2)
		got := 0
		for i := range 1000 {
			q.Push(job(1, tc.team, time.Duration(i)*time.Second), 1)
			e, _ := q.Pop(now)
			q.Finish(e, 10*ms, true)
			if e.Priority == 2 {
				got++
				q.Push(job(2, tc.team, time.Hour), 2)
			}
		}
		if got < tc.least || got > tc.most {
			t.Errorf("%s: %d of 1000 slots went to the lower priority, want %d to %d", tc.name, got, tc.least, tc.most)
		}
	}
}

// Guards against a request that is refused although another one has less use for its slot.
func TestEviction(t *testing.T) {
	type request struct {
		scheduler.Job
		name string
	}
	for _, tc := range []struct {
		name     string
		started  []string
		requests []request
		want     []string
	}{
		{
			"least urgent priority", nil,
			[]request{{job(1, "", time.Second), "1"}, {job(2, "", time.Second), "2"}, {job(0, "", -time.Second), "0"}},
			[]string{"2", "1", "0"},
		},
		{
			"late ones, then the last due, then the newest", nil,
			[]request{{job(1, "", -time.Second), "late"}, {job(1, "", 3*time.Second), "long"}, {job(1, "", time.Second), "first"}, {job(1, "", time.Second), "second"}},
			[]string{"late", "long", "second", "first"},
		},
		{
			"the team furthest above its share",
			[]string{"a", "a", "b"},
			[]request{{job(1, "a", time.Second), "a1"}, {job(1, "a", 2*time.Second), "a2"}, {job(1, "b", 3*time.Second), "b"}, {job(1, "c", 4*time.Second), "c"}},
			[]string{"a2", "a1", "b", "c"},
		},
		{
			"the team with most waiting requests", nil,
			[]request{{job(1, "a", time.Second), "a1"}, {job(1, "a", time.Second), "a2"}, {job(1, "b", 3*time.Second), "b"}},
			[]string{"a2", "b", "a1"},
		},
		{
			"one of each priority of teams stays longest", nil,
			[]request{{job(1, "a", time.Second), "1"}, {job(1, "a", 2*time.Second), "1, second"}, {job(2, "a", time.Second), "2"}, {job(2, "a", 2*time.Second), "2, second"}},
			[]string{"2, second", "1, second", "2", "1"},
		},
		{
			"one of each priority and a query of the instance", nil,
			[]request{{job(-1, "", time.Second), "query"}, {job(0, "a", time.Second), "0"}, {job(1, "a", time.Second), "1"}, {job(2, "b", time.Second), "2"}},
			[]string{"2", "1", "0", "query"},
		},
		{
			"several queries of the instance", nil,
			[]request{{job(-1, "", time.Second), "first"}, {job(-1, "", 2*time.Second), "second"}, {job(1, "a", time.Second), "1"}},
			[]string{"1", "second", "first"},
		},
	} {
		q := &scheduler.Queue[string]{}
		for _, team := range tc.started {
			q.Start(job(1, team, time.Second))
		}
		for _, r := range tc.requests {
			q.Push(r.Job, r.name)
		}
		var got []string
		for e := q.Evict(now); e != nil; e = q.Evict(now) {
			got = append(got, e.Value)
		}
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}

// Guards against memory that grows with the teams that have ever sent a request.
func TestAccountsAreForgotten(t *testing.T) {
	q := &scheduler.Queue[int]{}
	q.Push(job(1, "stays", time.Hour), 0)
	for i := range 10_000 {
		e := q.Start(job(1, fmt.Sprint("team-", i), time.Second))
		q.Finish(e, 10*ms, true)
	}
	if n := q.Accounts(); n > 600 {
		t.Errorf("%d accounts are kept", n)
	}
}

// BenchmarkQueue measures one request that waits, runs and ends while others wait.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{10, 60} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			q := &scheduler.Queue[int]{}
			for i := range waiting {
				q.Push(job(i%3, fmt.Sprint("team-", i%40), time.Duration(i)*ms), 0)
			}
			for i := 0; b.Loop(); i++ {
				q.CountAhead(job(i%3, "team-1", time.Second), now)
				q.Push(job(i%3, fmt.Sprint("team-", i%40), time.Duration(i%60)*ms), 0)
				e, _ := q.Pop(now)
				q.Finish(e, 10*ms, true)
			}
		})
	}
}

// Guards against an order in which a team above its share delays one within it by more than
// the requests that run already, whatever came before.
func TestNobodyWithinTheShareIsPassedOver(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("teams within their share first", prop.ForAll(func(steps []int) bool {
		q := &scheduler.Queue[int]{}
		var running []*scheduler.Entry[int]
		waiting := map[*scheduler.Entry[int]]bool{}
		lead := func(e *scheduler.Entry[int]) time.Duration {
			d, _ := q.Lead(e.Priority, e.Team)
			return d
		}
		for _, s := range steps {
			switch j := job(1+s%2, fmt.Sprint("team-", s/2%5), time.Hour+time.Duration(s)*ms); {
			case s%3 > 0:
				waiting[q.Push(j, s)] = true
			case len(running) > 3:
				q.Finish(running[0], time.Duration(s)*ms, true)
				running = running[1:]
			default:
				leads := map[*scheduler.Entry[int]]time.Duration{}
				for e := range waiting {
					leads[e] = lead(e)
				}
				e, _ := q.Pop(now)
				if e == nil {
					if len(waiting) > 0 {
						return false
					}
					continue
				}
				for o, d := range leads {
					if o.Priority == e.Priority && d == 0 && leads[e] > 0 {
						return false
					}
				}
				delete(waiting, e)
				running = append(running, e)
			}
		}
		return q.Len() == len(waiting)
	}, gen.SliceOfN(200, gen.IntRange(0, 60))))
	properties.TestingRun(t)
}

// Guards against requests that are taken for late, and pushed behind newer ones, because the
// server loses answers and slots are held until their timeout.
func TestLostAnswersMakeNobodyLate(t *testing.T) {
	q := &scheduler.Queue[string]{}
	for range 20 {
		q.Finish(q.Start(job(1, "", time.Second)), 10*ms, true)
		q.Finish(q.Start(job(1, "", time.Second)), 800*ms, false)
	}
	q.Push(job(1, "", 500*ms), "newer")
	q.Push(job(1, "", 100*ms), "older")
	if e, late := q.Pop(now); e.Value != "older" || late {
		t.Errorf("the %s request goes first, late: %v", e.Value, late)
	}
}

// Guards against a team that earns slot time by requests which take less than expected, while
// the bound on its lead has kept the expected time from being charged.
func TestLeadIsNotRefundedTwice(t *testing.T) {
	q := &scheduler.Queue[int]{}
	q.Push(job(1, "waits", time.Hour), 0)
	var running []*scheduler.Entry[int]
	for range 20 {
		running = append(running, q.Start(job(1, "short", time.Hour)))
	}
	for _, e := range running[1:] {
		q.Finish(e, ms, true)
	}
	if lead, _ := q.Lead(1, "short"); lead <= 0 {
		t.Errorf("the lead is %v after 20 requests while another team waits", lead)
	}
}
