package acquirer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

// views is a tracker.ViewSource whose view the tests set.
type views struct {
	mu      sync.Mutex
	view    tracker.View
	changed chan struct{}
	// panics makes View panic.
	panics atomic.Bool
}

func (v *views) View(string) (tracker.View, bool) {
	if v.panics.Load() {
		panic("test of a panic in the views")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view, true
}

func (v *views) Changed(string) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *views) set(view tracker.View) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.view = view
	close(v.changed)
	v.changed = make(chan struct{})
}

// conn is a server connection that counts how often it was given back.
type conn struct {
	pooler.Conn
	server                         string
	released, discarded, cancelled int
}

func (c *conn) Server() string               { return c.server }
func (c *conn) Release()                     { c.released++ }
func (c *conn) Discard()                     { c.discarded++ }
func (c *conn) Cancel(context.Context) error { c.cancelled++; return nil }

// pool answers with what acquire returns.
type pool struct {
	acquire func(context.Context, pooler.Request) (pooler.Conn, error)
}

func (p *pool) Acquire(ctx context.Context, req pooler.Request) (pooler.Conn, error) {
	return p.acquire(ctx, req)
}

// wait refuses when the context ends, as a pool without a free connection does.
func wait(ctx context.Context, req pooler.Request) (pooler.Conn, error) {
	<-ctx.Done()
	return nil, &pooler.RefusedError{Server: req.Server, Reason: pooler.ReasonDeadline, Err: ctx.Err()}
}

func refuse(r pooler.Reason) func(context.Context, pooler.Request) (pooler.Conn, error) {
	return func(_ context.Context, req pooler.Request) (pooler.Conn, error) {
		return nil, &pooler.RefusedError{Server: req.Server, Reason: r}
	}
}

func give(_ context.Context, req pooler.Request) (pooler.Conn, error) {
	return &conn{server: req.Server}, nil
}

// fixture is an acquirer of a session in a group with primary "a".
type fixture struct {
	*acquirer.Acquirer
	group        *acquirer.Group
	views        *views
	pool         *pool
	check        *pgproto3.ErrorResponse
	disconnected chan struct{}
	waits        metrics.Counter
	caller       net.Conn
}

func newFixture(t *testing.T) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = c.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	fx := &fixture{
		group: acquirer.NewGroup(), views: &views{changed: make(chan struct{}), view: tracker.View{Term: 1, Primary: "a"}},
		pool: &pool{acquire: give}, disconnected: make(chan struct{}), waits: metrics.NewCounter(), caller: caller,
	}
	fx.Acquirer = acquirer.New(acquirer.Config{
		Group: "g", Caller: "web", Shared: fx.group, Views: fx.views, Pool: fx.pool,
		Check: func() *pgproto3.ErrorResponse { return fx.check }, Clock: clockwork.NewRealClock(),
		PrimaryWait: time.Second, DrainWait: 100 * time.Millisecond,
		Conn: c, Disconnected: fx.disconnected, Context: t.Context(), Waits: fx.waits, Log: log,
	})
	return fx
}

// Guards against work that reaches a server that is not established as primary, against a wait
// above its limit, and against sessions that stay counted as in flight without a connection.
func TestPrimary(t *testing.T) {
	sound := tracker.View{Term: 1, Primary: "a"}
	second := tracker.View{Term: 2, Primary: "b"}
	later := func(do func(*fixture)) func(*fixture) {
		return func(fx *fixture) { time.AfterFunc(150*time.Millisecond, func() { do(fx) }) }
	}
	cases := []struct {
		name    string
		view    tracker.View
		acquire func(context.Context, pooler.Request) (pooler.Conn, error)
		// event happens 150 ms after the beginning.
		event func(*fixture)
		// server is that of the connection, code that of the error.
		server, code string
		// takes is how long it takes at least, within how long at most.
		takes, within time.Duration
		waits         int64
	}{
		{"at once", sound, give, nil, "a", "", 0, 500 * time.Millisecond, 0},
		{"no primary", tracker.View{}, give, nil, "", "40001", time.Second, 3 * time.Second, 1},
		{"replaced, next primary not known", tracker.View{Term: 1, Primary: "a", Replaced: true}, give, nil, "", "40001", time.Second, 3 * time.Second, 1},
		{"a primary in time", tracker.View{}, give, later(func(fx *fixture) { fx.views.set(second) }), "b", "", 100 * time.Millisecond, 900 * time.Millisecond, 1},
		{"planned change", tracker.View{Term: 1, Primary: "a", Draining: true}, give, nil, "a", "", 100 * time.Millisecond, 900 * time.Millisecond, 1},
		{"caller leaves without a primary", tracker.View{}, give, later(func(fx *fixture) { close(fx.disconnected) }), "", "40001", 100 * time.Millisecond, 900 * time.Millisecond, 1},
		{"unreachable", sound, refuse(pooler.ReasonUnreachable), nil, "", "40001", time.Second, 3 * time.Second, 0},
		{"queue full", sound, refuse(pooler.ReasonQueueFull), nil, "", "40001", 0, 500 * time.Millisecond, 0},
		{"no free connection", sound, wait, nil, "", "40001", time.Second, 3 * time.Second, 0},
		{"canceled", sound, wait, later(func(fx *fixture) { _ = fx.Cancel(context.Background()) }), "", "57014", 100 * time.Millisecond, 900 * time.Millisecond, 0},
		{"caller closed its connection", sound, wait, later(func(fx *fixture) { _ = fx.caller.Close() }), "", "40001", 100 * time.Millisecond, 900 * time.Millisecond, 0},
		{"replaced while waiting for a connection", sound, func(ctx context.Context, req pooler.Request) (pooler.Conn, error) {
			if req.Server == "a" {
				return wait(ctx, req)
			}
			return give(ctx, req)
		}, later(func(fx *fixture) { fx.views.set(second) }), "b", "", 100 * time.Millisecond, 900 * time.Millisecond, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fx := newFixture(t)
			fx.views.view, fx.pool.acquire = c.view, c.acquire
			if c.event != nil {
				c.event(fx)
			}
			began := time.Now()
			got, failure := fx.AcquirePrimary(fx.NewWait(), pooler.Write)
			if d := time.Since(began); d < c.takes || d > c.within {
				t.Errorf("took %v, want %v to %v", d, c.takes, c.within)
			}
			server, code, inFlight := "", "", 0
			if failure != nil {
				code = failure.Code
			} else {
				server, inFlight = got.Server(), 1
			}
			if server != c.server || code != c.code {
				t.Errorf("got server %q, code %q, want %q, %q", server, code, c.server, c.code)
			}
			if n := fx.group.InFlight(); n != inFlight {
				t.Errorf("%d in flight, want %d", n, inFlight)
			}
			if n := fx.waits.Count(); n != c.waits {
				t.Errorf("%d waits for a primary, want %d", n, c.waits)
			}
			fx.EndUse()
			fx.EndUse()
			if n := fx.group.InFlight(); n != 0 {
				t.Errorf("%d in flight after the end", n)
			}
		})
	}
}

// Guards against work that is sent although it could not be confirmed, or its token of the
// quota has expired, and against a connection that is kept then.
func TestAdmitted(t *testing.T) {
	refusal := resolver.NotRunError("test")
	cases := []struct {
		name  string
		check *pgproto3.ErrorResponse
		// confirms are the answers of the quota, one after the other.
		confirms []*pgproto3.ErrorResponse
		// acquired is set if a connection is taken from the pool, and fails if the operation
		// is refused.
		acquired, fails bool
	}{
		{"admitted", nil, []*pgproto3.ErrorResponse{nil, nil}, true, false},
		{"expired before the wait for a connection", nil, []*pgproto3.ErrorResponse{refusal}, false, true},
		{"expired meanwhile", nil, []*pgproto3.ErrorResponse{nil, refusal}, true, true},
		{"the group confirms nothing", refusal, []*pgproto3.ErrorResponse{nil}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.check = c.check
			var taken *conn
			fx.pool.acquire = func(_ context.Context, req pooler.Request) (pooler.Conn, error) {
				taken = &conn{server: req.Server}
				return taken, nil
			}
			confirms := c.confirms
			_, failure := fx.AcquireAdmitted(fx.NewWait(), pooler.Write, func() *pgproto3.ErrorResponse {
				defer func() { confirms = confirms[1:] }()
				return confirms[0]
			})
			if (failure != nil) != c.fails || (taken != nil) != c.acquired || len(confirms) > 0 {
				t.Errorf("failure %v, taken %v, %d confirmations left", failure, taken != nil, len(confirms))
			}
			if c.acquired && (taken.released == 1) != c.fails {
				t.Errorf("released %d times", taken.released)
			}
		})
	}
}

// Guards against connections that a panic keeps from other sessions, and against those that
// were given back and are closed as well.
func TestClose(t *testing.T) {
	fx := newFixture(t)
	var taken []*conn
	fx.pool.acquire = func(_ context.Context, req pooler.Request) (pooler.Conn, error) {
		c := &conn{server: req.Server}
		taken = append(taken, c)
		return c, nil
	}
	var conns []pooler.Conn
	for _, server := range []string{"b", "c", "d"} {
		c, err := fx.AcquireReplica(server, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	conns[0].Release()
	conns[1].Discard()
	fx.Close()
	for i, want := range [][2]int{{1, 0}, {0, 1}, {0, 1}} {
		if got := [2]int{taken[i].released, taken[i].discarded}; got != want {
			t.Errorf("connection %d: released and discarded %v times, want %v", i, got, want)
		}
	}
}

// Guards against a cancel request for a statement that runs no longer, which would hit the next
// statement on that connection.
func TestCancel(t *testing.T) {
	fx := newFixture(t)
	c := &conn{}
	for _, step := range []struct {
		running pooler.Conn
		want    int
	}{{nil, 0}, {c, 1}, {nil, 1}} {
		fx.SetRunning(step.running)
		if fx.IsRunning() != (step.running != nil) {
			t.Error("running:", fx.IsRunning())
		}
		if err := fx.Cancel(context.Background()); err != nil || c.cancelled != step.want {
			t.Errorf("%d cancel requests, %v, want %d", c.cancelled, err, step.want)
		}
	}
}

// Guards against slow readers that keep server connections from sessions that wait for them,
// and against sessions that count as starved when they wait no longer.
func TestStarved(t *testing.T) {
	fx := newFixture(t)
	starved := false
	fx.pool.acquire = func(context.Context, pooler.Request) (pooler.Conn, error) {
		time.Sleep(700 * time.Millisecond)
		starved = fx.group.IsStarved()
		return nil, errors.New("test")
	}
	if _, err := fx.AcquireReplica("b", time.Second); err == nil || !starved {
		t.Errorf("got %v, starved %v", err, starved)
	}
	if fx.group.IsStarved() {
		t.Error("starved after the wait")
	}
}

// Guards against sessions that count as starved for ever after a panic in the pool: from then on
// slow readers would lose their connections without need.
func TestStarvedAfterPanic(t *testing.T) {
	fx := newFixture(t)
	fx.pool.acquire = func(context.Context, pooler.Request) (pooler.Conn, error) { panic("test of a panic in the pool") }
	func() {
		defer func() { _ = recover() }()
		_, _ = fx.AcquireReplica("b", time.Second)
	}()
	time.Sleep(700 * time.Millisecond)
	if fx.group.IsStarved() {
		t.Error("starved after the panic")
	}
}

// Guards against a panic beside the wait for a connection that ends the process.
func TestPanicBesideWait(t *testing.T) {
	fx := newFixture(t)
	fx.pool.acquire = func(ctx context.Context, req pooler.Request) (pooler.Conn, error) {
		fx.views.panics.Store(true)
		defer fx.views.panics.Store(false)
		return wait(ctx, req)
	}
	if _, failure := fx.AcquirePrimary(fx.NewWait(), pooler.Write); failure == nil || failure.Code != resolver.CodeNotRun {
		t.Errorf("got %v", failure)
	}
}
