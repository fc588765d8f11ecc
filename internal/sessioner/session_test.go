package sessioner

import (
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/dispatcher"
	"marigoldhub.example/hub/internal/exchanger"
)

// scriptedConn sends one statement and notes its answer.
type scriptedConn struct {
	Conn
	statement exchanger.Statement
	hasMemory bool
	hasNext   bool
	onAnswer  func(exchanger.Answer)
}

func (c *scriptedConn) ReadStatement() (exchanger.Statement, error) { return c.statement, nil }
func (c *scriptedConn) Keep(int) bool                               { return c.hasMemory }
func (c *scriptedConn) HasNext() bool                               { return c.hasNext }

func (c *scriptedConn) WriteAnswer(a exchanger.Answer) error {
	c.onAnswer(a)
	return nil
}

func newTestSession(c *scriptedConn) *session {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &session{
		Server: &Server{Config: Config{Clock: clockwork.NewFakeClock(), Log: log}, count: newCounters(metrics.NewRegistry())},
		conn:   c, values: map[string]string{}, prepared: map[string]exchanger.PreparedKey{},
	}
}

// Guards against session state that is refused for lack of memory as if it were too large,
// which tells the caller never to send it again.
func TestStateWithoutMemoryIsBusy(t *testing.T) {
	for _, tc := range []struct {
		name      string
		statement exchanger.Statement
		hasMemory bool
		want      exchanger.Code
	}{
		{"value", exchanger.Statement{Kind: exchanger.Set, Name: "v", Value: "x"}, true, exchanger.Success},
		{"value without memory", exchanger.Statement{Kind: exchanger.Set, Name: "v", Value: "x"}, false, exchanger.Busy},
		{"prepared statement without memory", exchanger.Statement{Kind: exchanger.Prepare, Name: "p", Template: "x"}, false, exchanger.Busy},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestSession(&scriptedConn{hasMemory: tc.hasMemory})
			if a, ok := s.handleLocally(tc.statement); !ok || a.Code != tc.want {
				t.Errorf("code %v, want %v", a.Code, tc.want)
			}
		})
	}
}

// Guards against a refusal that promises that nothing is kept, after which the open transaction
// can still commit.
func TestStateWithoutMemoryEndsTheTransaction(t *testing.T) {
	s := newTestSession(&scriptedConn{})
	s.tx, s.state = &dispatcher.Transaction{}, exchanger.InTransaction
	a := s.handleInTransaction(exchanger.Statement{Kind: exchanger.Set, Name: "v", Value: "x"}, time.Now())
	if a.Code != exchanger.Busy || a.State != exchanger.FailedTransaction || s.state != exchanger.FailedTransaction || s.tx != nil {
		t.Errorf("answer %v in state %v, session in state %v with transaction %v", a.Code, a.State, s.state, s.tx != nil)
	}
}

// Guards against a session that counts as idle, and can be closed in favor of a new one,
// while its answer is written.
func TestSessionIsBusyUntilItsAnswerIsWritten(t *testing.T) {
	c := &scriptedConn{statement: exchanger.Statement{Kind: exchanger.Set, Name: "v", Value: "x"}, hasMemory: true}
	s := newTestSession(c)
	s.setQuiet(time.Now())
	answered := false
	c.onAnswer = func(exchanger.Answer) {
		answered = true
		if s.nanos.Load() != 0 {
			t.Error("the session is idle before its answer is written")
		}
	}
	if !s.serveStatement() || !answered {
		t.Error("the statement was not answered")
	}
	if s.nanos.Load() == 0 {
		t.Error("the session is not idle after its answer")
	}
}
