package sessioner

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/exchanger"
)

// Guards against callers that send statements without reading answers and keep those of others
// from being run: their statements must go after all others.
func TestStatementsSentAheadGoLast(t *testing.T) {
	for _, tc := range []struct {
		name string
		// next has for each statement whether another one had arrived when it was
		// answered, want whether each counts as sent ahead.
		next, want []bool
	}{
		{"one after the other", []bool{false, false, false}, []bool{false, false, false}},
		{"sent ahead", []bool{true, true, false}, []bool{false, true, true}},
		{"once", []bool{true, false, false}, []bool{false, true, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &scriptedConn{statement: exchanger.Statement{Kind: exchanger.Set, Name: "v", Value: "x"}, hasMemory: true, onAnswer: func(exchanger.Answer) {}}
			s := newTestSession(c)
			s.route.Priority = 3
			for i, next := range tc.next {
				req, _ := s.request(exchanger.Statement{Kind: exchanger.Read}, time.Now())
				if ahead := req.Route.Priority != 3; ahead != tc.want[i] || ahead && req.Route.Priority < 1000 {
					t.Errorf("statement %d has priority %d, want it to go last: %v", i, req.Route.Priority, tc.want[i])
				}
				c.hasNext = next
				if !s.serveStatement() {
					t.Fatal("the session has ended")
				}
			}
		})
	}
}

// Guards against callers whose statements are refused as fast as the process can, which keeps
// it from serving others, and against a session that is closed as idle during the pause, with
// its next statement unanswered.
func TestRefusedStatementsSentAheadPause(t *testing.T) {
	const statements = 6
	for _, tc := range []struct {
		name      string
		hasNext   bool
		hasMemory bool
		// want is the sum of the pauses.
		want time.Duration
	}{
		{"refused and sent ahead", true, false, (100 + 200 + 400 + 500 + 500) * time.Millisecond},
		{"refused", false, false, 0},
		{"sent ahead", true, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &scriptedConn{
				statement: exchanger.Statement{Kind: exchanger.Set, Name: "v", Value: "x"}, hasMemory: tc.hasMemory, hasNext: tc.hasNext,
				onAnswer: func(exchanger.Answer) {},
			}
			s := newTestSession(c)
			clock := &sleepClock{Clock: s.Clock, onSleep: func() {
				if s.nanos.Load() != 0 {
					t.Error("the session counts as idle during a pause, with a statement to answer")
				}
			}}
			s.Clock = clock
			for range statements {
				if !s.serveStatement() {
					t.Fatal("the session has ended")
				}
			}
			if clock.slept != tc.want {
				t.Errorf("the session paused for %v, want %v", clock.slept, tc.want)
			}
		})
	}
}

// sleepClock notes the time of sleeps and does not sleep.
type sleepClock struct {
	clockwork.Clock
	slept   time.Duration
	onSleep func()
}

func (c *sleepClock) Sleep(d time.Duration) {
	c.slept += d
	c.onSleep()
}
