package charger_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/throttler"
)

// quotas admits as many operations as are left and records what becomes of them.
type quotas struct {
	left              int
	err               error
	expired           bool
	asked, ran, given int
}

func (q *quotas) Admit(string, time.Time) (charger.Operation, error) {
	q.asked++
	if q.left == 0 {
		return nil, q.err
	}
	q.left--
	return &operation{q: q}, nil
}

type operation struct {
	q     *quotas
	ended bool
}

func (o *operation) IsExpired() bool { return o.q.expired }
func (o *operation) Done()           { o.end(&o.q.ran) }
func (o *operation) Refund()         { o.end(&o.q.given) }

func (o *operation) end(count *int) {
	if !o.ended {
		*count++
	}
	o.ended = true
}

// Guards against operations that are charged more or less than once, that are given back
// though a server may have run a part of them, and that stay charged though none did.
func TestOperations(t *testing.T) {
	statements := func(kinds ...classifier.Kind) []classifier.Statement {
		var list []classifier.Statement
		for _, k := range kinds {
			list = append(list, classifier.Statement{Kind: k})
		}
		return list
	}
	refused := "53400"
	admit := func(want string, flushed bool, kinds ...classifier.Kind) func(*testing.T, *charger.Charger) {
		return func(t *testing.T, c *charger.Charger) {
			t.Helper()
			got := ""
			if e := c.Admit(statements(kinds...), flushed); e != nil {
				got = e.Code
			}
			if got != want {
				t.Errorf("admit: got %q, want %q", got, want)
			}
		}
	}
	confirm := func(want string) func(*testing.T, *charger.Charger) {
		return func(t *testing.T, c *charger.Charger) {
			t.Helper()
			got := ""
			if e := c.Confirm(); e != nil {
				got = e.Code
			}
			if got != want {
				t.Errorf("confirm: got %q, want %q", got, want)
			}
		}
	}
	send := func(_ *testing.T, c *charger.Charger) { c.MarkSent() }
	undone := func(_ *testing.T, c *charger.Charger) { c.MarkSent()() }
	settle := func(ended bool) func(*testing.T, *charger.Charger) {
		return func(_ *testing.T, c *charger.Charger) { c.Settle(ended) }
	}
	write, begin, commit, rollback := classifier.Write, classifier.Begin, classifier.Commit, classifier.Rollback
	cases := []struct {
		name    string
		team    string
		left    int
		expired bool
		steps   []func(*testing.T, *charger.Charger)
		// want are the operations that were asked for, have run and were given back.
		want [3]int
	}{
		{"no team", "", 0, false, []func(*testing.T, *charger.Charger){admit("", false, write), send, settle(true)}, [3]int{}},
		{"ran", "t", 1, false, []func(*testing.T, *charger.Charger){admit("", false, write), send, settle(true), settle(true)}, [3]int{1, 1, 0}},
		{"not sent", "t", 1, false, []func(*testing.T, *charger.Charger){admit("", false, write), settle(true)}, [3]int{1, 0, 1}},
		{"refused by the server", "t", 1, false, []func(*testing.T, *charger.Charger){admit("", false, write), undone, settle(true)}, [3]int{1, 0, 1}},
		{"a part ran, the next is refused by the server", "t", 1, false, []func(*testing.T, *charger.Charger){admit("", false, begin), send, undone, settle(true)}, [3]int{1, 1, 0}},
		{"a transaction", "t", 1, false, []func(*testing.T, *charger.Charger){
			admit("", false, begin), send, settle(false), admit("", false, write), send, settle(false), admit("", false, commit), send, settle(true),
		}, [3]int{1, 1, 0}},
		{"another transaction after the first", "t", 1, false, []func(*testing.T, *charger.Charger){
			admit("", false, begin), send, settle(false), admit(refused, false, rollback, begin), settle(true),
		}, [3]int{2, 1, 0}},
		{"nothing is executed", "t", 0, false, []func(*testing.T, *charger.Charger){admit("", false)}, [3]int{}},
		{"nothing is executed before Flush", "t", 0, false, []func(*testing.T, *charger.Charger){admit(refused, true)}, [3]int{1, 0, 0}},
		{"expired while it waited", "t", 2, true, []func(*testing.T, *charger.Charger){admit("", false, write), confirm(""), send, settle(true)}, [3]int{2, 1, 1}},
		{"expired, and the quota is used up", "t", 1, true, []func(*testing.T, *charger.Charger){admit("", false, write), confirm(refused), settle(true)}, [3]int{2, 0, 1}},
		{"nothing to confirm", "t", 0, true, []func(*testing.T, *charger.Charger){confirm("")}, [3]int{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := &quotas{left: c.left, expired: c.expired, err: &throttler.Refusal{Reason: "used up", After: time.Second}}
			count := metrics.NewCounter()
			ch := charger.New(charger.Config{Quotas: q, Team: c.team, Clock: clockwork.NewFakeClock(), Refused: count})
			for _, step := range c.steps {
				step(t, ch)
			}
			if got := [3]int{q.asked, q.ran, q.given}; got != c.want {
				t.Errorf("asked for, run, given back: %v, want %v", got, c.want)
			}
			if got, want := int(count.Count()), c.want[0]-c.want[1]-c.want[2]; got != want {
				t.Errorf("%d refused, want %d", got, want)
			}
		})
	}
}

// Guards against a refusal without the time after which to come back, and against one that
// hides its reason.
func TestRefusals(t *testing.T) {
	cases := []struct {
		err  error
		want string
	}{
		{&throttler.Refusal{Reason: "used up", After: 120 * time.Millisecond}, "request was not run: quota: used up, retry in 120 ms"},
		{errors.New("not known"), "request was not run: quota: not known, retry in 0 ms"},
	}
	for _, c := range cases {
		ch := charger.New(charger.Config{Quotas: &quotas{err: c.err}, Team: "t", Clock: clockwork.NewFakeClock(), Refused: metrics.NewCounter()})
		if e := ch.Admit(nil, true); e == nil || e.Message != c.want || e.Code != "53400" {
			t.Errorf("got %v, want %s", e, c.want)
		}
	}
}
