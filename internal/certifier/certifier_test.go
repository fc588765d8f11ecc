package certifier_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/tracker"
)

type answer struct {
	res confirmer.Result
	err error
	// panics makes the confirmation panic.
	panics bool
}

// script answers each confirmation with the next of its answers.
type script struct {
	answers []answer
	asked   []confirmer.Request
}

func (s *script) Confirm(_ context.Context, req confirmer.Request) (confirmer.Result, error) {
	s.asked = append(s.asked, req)
	a := s.answers[0]
	s.answers = s.answers[1:]
	if a.panics {
		panic("test of a panic inside a confirmation")
	}
	return a.res, a.err
}

func newCertifier(answers ...answer) (*certifier.Certifier, *script) {
	s := &script{answers: answers}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return certifier.New(certifier.Config{Group: "g", Confirmer: s, Wait: time.Second, CheckWait: time.Second, Log: log}), s
}

func position(term, offset uint64) tracker.Position {
	return tracker.Position{Term: term, Offset: offset}
}

var errLate = errors.New("late")

// Guards against a strict read that is answered without a proof that its server was still the
// primary, and against a read that waits for a second proof that it does not need.
func TestConfirmRead(t *testing.T) {
	confirmed := func(p tracker.Position) answer {
		return answer{res: confirmer.Result{Outcome: confirmer.Confirmed, Position: p}}
	}
	superseded := answer{res: confirmer.Result{Outcome: confirmer.Superseded, Position: position(2, 1)}}
	read := position(1, 5)
	cases := []struct {
		name    string
		answers []answer
		// asked are the confirmations after the first, want the last outcome.
		asked []confirmer.Request
		want  confirmer.Outcome
		fails bool
	}{
		{"covered", []answer{confirmed(position(1, 5))}, nil, confirmer.Confirmed, false},
		{"later position of the term", []answer{confirmed(position(1, 4)), confirmed(read)}, []confirmer.Request{{Group: "g", Position: read}}, confirmer.Confirmed, false},
		{"another term", []answer{confirmed(position(2, 9)), superseded}, []confirmer.Request{{Group: "g", Position: read, Fresh: true}}, confirmer.Superseded, false},
		{"superseded", []answer{superseded, superseded}, []confirmer.Request{{Group: "g", Position: read, Fresh: true}}, confirmer.Superseded, false},
		{"not confirmed", []answer{{err: errLate}}, nil, 0, true},
		{"panic", []answer{{panics: true}}, nil, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cert, s := newCertifier(c.answers...)
			res, err := cert.ConfirmRead(cert.StartFresh(), read)
			if (err != nil) != c.fails || err == nil && res.Outcome != c.want {
				t.Errorf("got %v, %v", res, err)
			}
			if got := s.asked[1:]; len(got) != len(c.asked) || len(got) > 0 && got[0] != c.asked[0] {
				t.Errorf("asked for %+v, want %+v", got, c.asked)
			}
		})
	}
}

// Guards against new work that is sent to a group that confirms nothing, against confirmations
// before each request of a sound group, and against a group that stays suspect.
func TestCheck(t *testing.T) {
	ok := answer{res: confirmer.Result{Outcome: confirmer.Confirmed}}
	cases := []struct {
		name    string
		answers []answer
		// refused is the result of each check after the first confirmation.
		refused []bool
		asked   int
	}{
		{"sound", []answer{ok}, []bool{false, false}, 1},
		{"failed and sound again", []answer{{err: errLate}, ok}, []bool{false, false}, 2},
		{"fails", []answer{{err: errLate}, {err: errLate}, {err: errLate}}, []bool{true, true}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cert, s := newCertifier(c.answers...)
			_, _ = cert.Confirm(position(1, 1), false)
			for i, want := range c.refused {
				if got := cert.Check() != nil; got != want {
					t.Errorf("check %d: refused %v, want %v", i, got, want)
				}
			}
			if len(s.asked) != c.asked {
				t.Errorf("%d confirmations, want %d", len(s.asked), c.asked)
			}
		})
	}
}

// Guards against sessions that do not see their own commits at a replica, and against a minimum
// position that is too low after a commit of unknown outcome.
func TestMinimum(t *testing.T) {
	at := time.Unix(100, 0)
	set := func(offset uint64) certifier.Minimum {
		return certifier.Minimum{Position: position(1, offset), IsSet: true, At: at}
	}
	cases := []struct {
		name      string
		got, want certifier.Minimum
	}{
		{"first commit", certifier.Minimum{}.WithCommit(position(1, 2), at), set(2)},
		{"later commit", set(2).WithCommit(position(1, 3), at), set(3)},
		{"earlier commit", set(2).WithCommit(position(1, 1), at.Add(1)), set(2)},
		{"unknown commit", set(2).WithUnknownCommit(), certifier.Minimum{Position: position(1, 2), At: at}},
		{"commit after an unknown one", set(2).WithUnknownCommit().WithCommit(position(1, 1), at), set(1)},
	}
	for _, c := range cases {
		if c.got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, c.got, c.want)
		}
	}
	clock := clockwork.NewFakeClockAt(at)
	cert, s := newCertifier(answer{err: errLate}, answer{res: confirmer.Result{Outcome: confirmer.Confirmed, Position: position(1, 7)}})
	for i, want := range []certifier.Minimum{{}, set(7)} {
		if got := cert.Minimum(certifier.Minimum{}, clock); got != want {
			t.Errorf("first minimum %d: got %+v, want %+v", i, got, want)
		}
	}
	if got := cert.Minimum(set(3), clock); got != set(3) || len(s.asked) != 2 {
		t.Errorf("got %+v after %d confirmations, want %+v after 2", got, len(s.asked), set(3))
	}
}

// Guards against a lower bound above the primary's log: a commit that survived would be
// reported as not run.
func TestKnownPosition(t *testing.T) {
	cert, _ := newCertifier()
	for _, c := range []struct {
		status tracker.Status
		want   tracker.Position
	}{
		{tracker.Status{Role: tracker.RoleReplica, Log: position(1, 9)}, position(0, 0)},
		{tracker.Status{Role: tracker.RolePrimary, Log: position(1, 5)}, position(1, 5)},
		{tracker.Status{Role: tracker.RolePrimary, Log: position(1, 4)}, position(1, 5)},
		{tracker.Status{Role: tracker.RolePrimary, Log: position(2, 1)}, position(2, 1)},
	} {
		cert.RecordStatus(c.status)
		if got := cert.KnownPosition(); got != c.want {
			t.Errorf("after %+v: got %v, want %v", c.status, got, c.want)
		}
	}
}
