package sessioner_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/sessioner"
)

// silentConn is a caller that never sends the start of its session.
type silentConn struct {
	conn
	refused chan exchanger.Code
	aborted chan struct{}
	abort   sync.Once
}

func (c *silentConn) ReadStart(time.Time) (sessioner.Start, error) {
	<-c.aborted
	return sessioner.Start{}, io.EOF
}

func (c *silentConn) RefuseStart(code exchanger.Code, _ string) error {
	c.refused <- code
	return nil
}

func (c *silentConn) Abort() { c.abort.Do(func() { close(c.aborted) }) }

func (c *silentConn) Close() error {
	c.Abort()
	return c.conn.Close()
}

// Guards against connections without a session that keep callers out, and against the end of
// connections that have just been opened.
func TestUnstartedConnectionsMakeRoom(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration
		// aborted is set if the first connection makes room; otherwise the last is refused.
		aborted bool
	}{
		{"just opened", 0, false},
		{"young", 400 * time.Millisecond, false},
		{"old", time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			clock := clockwork.NewFakeClock()
			conns := make(chan *silentConn, 3)
			r := metrics.NewRegistry()
			s := sessioner.NewServer(sessioner.Config{
				Listener: l, NewConn: func(c net.Conn) sessioner.Conn {
					sc := &silentConn{conn: conn{Conn: c, closed: make(chan struct{})}, refused: make(chan exchanger.Code, 1), aborted: make(chan struct{})}
					conns <- sc
					return sc
				},
				Informer: newInformer(t, log), MaxSessions: 4, Refusals: budgeter.NewRefusals(r, log), Clock: clock, Metrics: r, Log: log,
			})
			opened := metrics.GetOrRegisterCounter("sessioner.opened", r)
			var accepted []*silentConn
			for i := range 3 {
				// Connections of the same age would make room in any order.
				for deadline := time.Now().Add(5 * time.Second); opened.Count() < int64(i); time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatal("a connection was not accepted")
					}
				}
				clock.Advance(time.Millisecond)
				if i == 2 {
					clock.Advance(tc.age)
				}
				c, err := net.Dial("tcp4", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				accepted = append(accepted, <-conns)
			}
			select {
			case <-accepted[0].aborted:
				if !tc.aborted {
					t.Error("a connection was closed too early")
				}
			case code := <-accepted[2].refused:
				if tc.aborted || code != exchanger.TooManyConnections {
					t.Errorf("refused with %v", code)
				}
			case <-time.After(5 * time.Second):
				t.Fatal("no connection made room and none was refused")
			}
			for _, c := range accepted {
				c.Abort()
			}
			if !s.Stop(0, 5*time.Second) {
				t.Error("a session did not end")
			}
		})
	}
}
