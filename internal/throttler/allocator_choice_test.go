package throttler

import (
	"testing"
	"time"

	"marigoldhub.example/hub/internal/messenger/wire"
)

// Guards against operations that wait for a candidate that is known not to answer, against
// instances that stay apart from the others, and against ones that leave an allocator that
// answers.
func TestChoiceOfTheAllocator(t *testing.T) {
	now := time.Unix(1000, 0)
	lately, earlier := now.Add(-time.Second), now.Add(-shareValid-time.Second)
	usable := func(share float64) *reachability { return &reachability{share: share, shareAt: lately} }
	avoided := &reachability{avoid: time.Second, avoidUntil: now.Add(time.Second)}
	suspect := &reachability{avoid: time.Second, avoidUntil: lately}
	silent := &reachability{avoid: time.Second, avoidUntil: lately, missed: lately}
	const none = -1
	cases := []struct {
		name  string
		known []*reachability
		// current is the index of the present candidate, and stays is for how long it has been.
		current  int
		stays    time.Duration
		isUrgent bool
		want     int
		isProbe  bool
	}{
		{"nothing is known", []*reachability{{}, {}, {}}, none, 0, true, 0, false},
		{"the first is avoided", []*reachability{avoided, {}, {}}, 0, 0, true, 1, false},
		{"all are avoided", []*reachability{avoided, avoided, avoided}, 0, 0, true, -1, false},
		{"the first did not answer and an operation waits", []*reachability{suspect, usable(1), {}}, none, 0, true, 1, false},
		{"the first did not answer and most use the second", []*reachability{suspect, usable(1), {}}, 1, 0, false, 1, false},
		{"the first did not answer and few use the second", []*reachability{suspect, usable(0.3), {}}, 1, 0, false, 0, true},
		{"the first did not answer, few use the second and an operation waits", []*reachability{suspect, usable(0.3), usable(0.1)}, 1, 0, true, 1, false},
		{"one was silent lately and few use the second", []*reachability{silent, usable(0.3), {}}, 1, 0, true, 1, false},
		{"no other is left", []*reachability{suspect, avoided, avoided}, none, 0, true, 0, true},
		{"few use the first, the others are not known", []*reachability{usable(0.1), {}, {}}, 0, 0, true, 1, true},
		{"few use the first, most the second", []*reachability{usable(0.1), usable(0.9), {}}, 0, 0, true, 1, false},
		{"few use the first, most the second, and it was changed to lately", []*reachability{usable(0.1), usable(0.9), usable(0.1)}, 0, 500 * time.Millisecond, true, 0, false},
		{"few use the first, most used the second earlier", []*reachability{usable(0.1), {share: 0.9, shareAt: now.Add(-2 * time.Second)}, {}}, 0, 0, true, 1, true},
		{"the first cannot tell yet, most use the second", []*reachability{usable(0), usable(0.9), {}}, 0, 0, true, 1, false},
		{"the first cannot tell yet, the others are not known", []*reachability{usable(0), {}, {}}, none, 0, true, 0, false},
		{"the first cannot tell yet to an instance that has just started", []*reachability{usable(0), {}, {}}, 0, 0, true, 1, true},
		{"the first cannot tell yet after it has taken over", []*reachability{usable(0), {}, {}}, 0, time.Minute, true, 0, false},
		{"few use any, most of them the third", []*reachability{usable(0.1), usable(0.1), usable(0.3)}, 0, 0, true, 2, false},
		{"as many use the first", []*reachability{usable(0.4), usable(0.4), usable(0.1)}, 1, time.Minute, true, 0, false},
		{"as many use the second", []*reachability{usable(0.4), usable(0.4), usable(0.1)}, 0, time.Minute, true, 0, false},
		{"most use the second, and the first was used by few earlier", []*reachability{{share: 0.1, shareAt: earlier}, usable(0.9), {}}, 1, 0, false, 1, false},
		{"the first was used by few earlier and an operation waits", []*reachability{{share: 0.1, shareAt: earlier}, usable(0.9), {}}, none, 0, true, 1, false},
		{"one answer of the present one was slow", []*reachability{{timeouts: 1, share: 0.9, shareAt: lately}, usable(0.1), {}}, 0, time.Minute, true, 0, false},
	}
	for _, c := range cases {
		ch := allocatorChoice{}
		if c.current != none {
			ch.current = c.known[c.current]
		}
		if c.stays > 0 {
			ch.changed = now.Add(-c.stays)
		}
		got, isProbe := ch.choose(c.known, c.isUrgent, now)
		if got != c.want || isProbe != c.isProbe {
			t.Errorf("%s: candidate %d is chosen, probe %t, not %d, %t", c.name, got, isProbe, c.want, c.isProbe)
		}
	}
}

// Guards against a candidate that is left for a single slow answer, one that answers now and
// then and is asked again as soon as one that does so for the first time, and a side of a split
// fleet that waits for two answers from each candidate.
func TestSlowAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &reachability{}
	r.timedOut(1, now)
	if !r.isAway(now) {
		t.Error("a candidate that never answered is asked again beside another silent one")
	}
	*r = reachability{}
	for i, want := range []time.Duration{minAvoid, 2 * minAvoid, maxAvoid, maxAvoid} {
		r.answered(&wire.QuotaResponse{}, now)
		r.timedOut(1, now)
		if r.isAway(now) {
			t.Errorf("round %d: one slow answer makes a candidate avoided", i)
		}
		r.timedOut(1, now)
		if r.avoid != want {
			t.Errorf("round %d: the candidate is avoided for %v, not %v", i, r.avoid, want)
		}
		now = now.Add(2 * time.Second)
	}
	now = now.Add(formerValid)
	r.answered(&wire.QuotaResponse{}, now)
	if r.unreached(now); r.avoid != minAvoid {
		t.Errorf("a candidate that answered for long is avoided for %v, not %v", r.avoid, minAvoid)
	}
}
