package sessioner_test

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/informer/informertest"
	"marigoldhub.example/hub/internal/sessioner"
	"marigoldhub.example/hub/internal/storer/storertest"
)

// conn is a caller whose start message makes the codec fail or panic.
type conn struct {
	net.Conn
	panics bool
	closed chan struct{}
	once   sync.Once
}

func (c *conn) ReadStart(time.Time) (sessioner.Start, error) {
	if c.panics {
		panic("unexpected message")
	}
	return sessioner.Start{}, io.EOF
}
func (c *conn) WriteReady() error                           { return nil }
func (c *conn) RefuseStart(exchanger.Code, string) error    { return nil }
func (c *conn) Watch(func()) (stop func())                  { return func() {} }
func (c *conn) Wait(time.Time) error                        { return io.EOF }
func (c *conn) ReadStatement() (exchanger.Statement, error) { return exchanger.Statement{}, io.EOF }
func (c *conn) WriteAnswer(exchanger.Answer) error          { return nil }
func (c *conn) End(exchanger.Code, string) error            { return c.Close() }
func (c *conn) HasNext() bool                               { return false }
func (c *conn) Keep(int) bool                               { return true }
func (c *conn) Abort()                                      { c.Close() }
func (c *conn) Interrupt()                                  {}
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// newInformer returns an informer of an empty store.
func newInformer(t *testing.T, log logrus.FieldLogger) *informer.Informer {
	n := informer.New(informer.Config{
		Store: storertest.New(), Schema: informertest.Schema(), Clock: clockwork.NewRealClock(), Log: log,
		ListInterval: func() time.Duration { return time.Hour }, LinearizableEvery: func() int { return 1 },
		CheckInterval: func() time.Duration { return time.Hour }, OnChange: func() {},
	})
	t.Cleanup(n.Close)
	return n
}

// Guards against a malformed message that ends the process with the sessions of
// all callers, and against an ended session that still counts against the limit.
func TestPanicEndsOneSession(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	n := newInformer(t, log)
	conns := make(chan *conn, 2)
	accepted := 0
	s := sessioner.NewServer(sessioner.Config{
		Listener: l, NewConn: func(c net.Conn) sessioner.Conn {
			accepted++
			sc := &conn{Conn: c, panics: accepted == 1, closed: make(chan struct{})}
			conns <- sc
			return sc
		},
		Informer: n, MaxSessions: 1, Refusals: budgeter.NewRefusals(metrics.NewRegistry(), log), Clock: clockwork.NewRealClock(), Metrics: metrics.NewRegistry(), Log: log,
	})
	for range 2 {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		select {
		case <-(<-conns).closed:
		case <-time.After(5 * time.Second):
			t.Fatal("the session was not closed")
		}
	}
	if !s.Stop(0, 5*time.Second) {
		t.Error("a session did not end")
	}
	if !strings.Contains(out.String(), "unexpected message") {
		t.Error("the panic was not logged")
	}
}
