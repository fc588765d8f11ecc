package observer

import (
	"errors"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/tracker"
)

// Guards against a slow server that is taken for silent, and against a silent one that is
// asked on.
func TestIsSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name string
		// sent and answered are how long ago the oldest open request was sent, and the last
		// answer came; 0 for none.
		sent, answered time.Duration
		want           bool
	}{
		{"nothing is open", 0, time.Minute, false},
		{"a request has just been sent", 100 * time.Millisecond, time.Minute, false},
		{"slow, but it answers others", time.Second, 100 * time.Millisecond, false},
		{"no answer", time.Second, time.Second, true},
		{"no answer ever", time.Second, 0, true},
	} {
		var o Observer
		if tc.sent > 0 {
			o.Exchanges.Begin(now.Add(-tc.sent))
		}
		if tc.answered > 0 {
			o.RecordAnswer(now.Add(-tc.answered))
		}
		if got := o.IsSilent(now); got != tc.want {
			t.Errorf("%s: silent %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against a server that is avoided because its queries fail while it runs reads, and
// against one that is used after a failure.
func TestIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name    string
		observe func(o *Observer)
		want    bool
	}{
		{"nothing is known", func(*Observer) {}, false},
		{"it answered", func(o *Observer) { o.Observe(now, time.Millisecond, exchanger.Success, nil) }, false},
		{"its queue was full", func(o *Observer) { o.Observe(now, 0, exchanger.Busy, nil) }, true},
		{"the connection was lost", func(o *Observer) { o.Observe(now, 0, exchanger.Success, errors.New("lost")) }, true},
		{"it refused a connection", func(o *Observer) { o.ObserveDial(now, &exchanger.RefusedError{Code: exchanger.TooManyConnections}) }, true},
		{"a query failed", func(o *Observer) { o.ObserveQueryFailure(now) }, true},
		{"a query failed after a read", func(o *Observer) { o.ObserveRead(now); o.ObserveQueryFailure(now) }, false},
	} {
		var o Observer
		tc.observe(&o)
		if got := o.IsAvoided(now.Add(50 * time.Millisecond)); got != tc.want {
			t.Errorf("%s: avoided %v, want %v", tc.name, got, tc.want)
		}
		if o.IsAvoided(now.Add(2 * time.Second)) {
			t.Errorf("%s: avoided for longer than the reason lasts", tc.name)
		}
	}
}

// Guards against a replica that is reported to be behind for one late answer, or after it has
// caught up.
func TestProgressOfAReplica(t *testing.T) {
	start := time.Unix(1000, 0)
	required := exchanger.Statement{MinPosition: tracker.Position{Term: 1, Offset: 9}}
	unknown := func(tracker.Position) (time.Time, bool) { return time.Time{}, false }
	answer := func(code exchanger.Code, offset uint64) exchanger.Answer {
		return exchanger.Answer{Code: code, Position: tracker.Position{Term: 1, Offset: offset}}
	}
	var o Observer
	for _, tc := range []struct {
		name  string
		after time.Duration
		a     exchanger.Answer
		want  bool
	}{
		{"it has the position", 0, answer(exchanger.Success, 9), false},
		{"it lacks it for the first time", 100 * time.Millisecond, answer(exchanger.Behind, 5), false},
		{"it still lacks it", 400 * time.Millisecond, answer(exchanger.Behind, 6), true},
		{"it has caught up", 500 * time.Millisecond, answer(exchanger.Success, 9), false},
	} {
		now := start.Add(tc.after)
		o.ObservePosition(now, required, tc.a)
		if _, got := o.Progress(now, unknown); got != tc.want {
			t.Errorf("%s: behind %v, want %v", tc.name, got, tc.want)
		}
	}
}
