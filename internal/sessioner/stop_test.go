package sessioner

import (
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/informer/informertest"
	"marigoldhub.example/hub/internal/storer/storertest"
)

// openConn is a caller with an open session. Its statements have arrived when Wait is called if
// sendsAtOnce is set; otherwise it sends nothing.
type openConn struct {
	scriptedConn
	sendsAtOnce bool

	mu          sync.Mutex
	interrupted chan struct{}
	ended       chan exchanger.Code
}

func newOpenConn(sendsAtOnce bool) *openConn {
	return &openConn{
		scriptedConn: scriptedConn{statement: exchanger.Statement{Kind: exchanger.Set, Name: "v", Value: "x"}, hasMemory: true, onAnswer: func(exchanger.Answer) {}},
		sendsAtOnce:  sendsAtOnce, interrupted: make(chan struct{}), ended: make(chan exchanger.Code, 1),
	}
}

func (c *openConn) Wait(time.Time) error {
	if c.sendsAtOnce {
		time.Sleep(time.Millisecond)
		return nil
	}
	c.mu.Lock()
	interrupted := c.interrupted
	c.mu.Unlock()
	<-interrupted
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = make(chan struct{})
	return os.ErrDeadlineExceeded
}

func (c *openConn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.interrupted:
	default:
		close(c.interrupted)
	}
}

func (c *openConn) Watch(func()) (stop func()) { return func() {} }

func (c *openConn) End(code exchanger.Code, _ string) error {
	c.ended <- code
	return nil
}

// Guards against transactions that end at the same time as idle sessions when the instance
// stops, and against callers that never pause and are not told of the end of their session.
func TestStopGivesTransactionsTheirTime(t *testing.T) {
	const transactions, timeout = 300 * time.Millisecond, 10 * time.Second
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name        string
		state       exchanger.State
		sendsAtOnce bool
		// least is how long the session goes on.
		least time.Duration
	}{
		{"idle", exchanger.Idle, false, 0},
		{"idle, sends at once", exchanger.Idle, true, 0},
		{"in a transaction", exchanger.InTransaction, false, transactions},
		{"in a transaction, sends at once", exchanger.InTransaction, true, transactions},
		{"in a failed transaction", exchanger.FailedTransaction, false, transactions},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newOpenConn(tc.sendsAtOnce)
			s := newTestSession(&c.scriptedConn)
			s.conn, s.state = c, tc.state
			s.Clock, s.Listener, s.Informer = clockwork.NewRealClock(), l, informer.New(informer.Config{
				Store: storertest.New(), Schema: informertest.Schema(), Clock: clockwork.NewRealClock(), Log: s.Log,
				ListInterval: func() time.Duration { return time.Hour }, LinearizableEvery: func() int { return 1 },
				CheckInterval: func() time.Duration { return time.Hour }, OnChange: func() {},
			})
			t.Cleanup(s.Informer.Close)
			s.sessions = map[*session]struct{}{s: {}}
			s.wg.Go(func() {
				for s.awaitStatement() && s.serveStatement() {
				}
			})
			began := time.Now()
			if !s.Server.Stop(transactions, timeout) {
				t.Fatal("the session goes on after the stop")
			}
			if took := time.Since(began); took < tc.least {
				t.Errorf("the session ended after %v, want %v at least", took, tc.least)
			}
			select {
			case code := <-c.ended:
				if code != exchanger.Busy {
					t.Errorf("the session ended with %v, want %v", code, exchanger.Busy)
				}
			default:
				t.Error("the caller was not told that the session ended")
			}
		})
	}
}
