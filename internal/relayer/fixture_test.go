package relayer_test

import (
	"context"
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/gatekeeper"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/relayer"
	"marigoldhub.example/hub/internal/tokener"
	"marigoldhub.example/hub/internal/tracker"
)

// fakePool hands out connections to fake servers.
type fakePool struct {
	mu      sync.Mutex
	servers map[string]*fakeServer
	idle    map[string][]*fakeConn
	slots   map[string]chan struct{}
	// discarded counts connections that were closed.
	discarded int
	refuse    map[string]bool
	// panicOnReceive makes the next Receive of any connection panic whose last query contains
	// panicAfter.
	panicOnReceive bool
	panicAfter     string
}

func (p *fakePool) Acquire(ctx context.Context, req pooler.Request) (pooler.Conn, error) {
	p.mu.Lock()
	f, ok := p.servers[req.Server]
	slots, refuse := p.slots[req.Server], p.refuse[req.Server]
	p.mu.Unlock()
	if !ok || refuse {
		return nil, &pooler.RefusedError{Server: req.Server, Reason: pooler.ReasonUnreachable, Err: errors.New("refused")}
	}
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &pooler.RefusedError{Server: req.Server, Reason: pooler.ReasonDeadline, Err: ctx.Err()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle := p.idle[req.Server]; len(idle) > 0 {
		p.idle[req.Server] = idle[1:]
		return idle[0], nil
	}
	c, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		<-slots
		return nil, &pooler.RefusedError{Server: req.Server, Reason: pooler.ReasonUnreachable, Err: err}
	}
	return &fakeConn{p: p, f: f, c: c, fe: pgproto3.NewFrontend(c, c), stmts: make(map[string]bool)}, nil
}

type fakeConn struct {
	p     *fakePool
	f     *fakeServer
	c     net.Conn
	fe    *pgproto3.Frontend
	stmts map[string]bool
	// lastQuery is the text of the last simple query that was sent.
	lastQuery string
}

func (c *fakeConn) Server() string { return c.f.name }

func (c *fakeConn) Send(msgs ...pgproto3.FrontendMessage) {
	for _, m := range msgs {
		if q, ok := m.(*pgproto3.Query); ok {
			c.lastQuery = q.String
		}
		c.fe.Send(m)
	}
}
func (c *fakeConn) Flush() error                      { return c.fe.Flush() }
func (c *fakeConn) SetReadDeadline(t time.Time) error { return c.c.SetReadDeadline(t) }
func (c *fakeConn) HasStatement(name string) bool     { return c.stmts[name] }
func (c *fakeConn) AddStatement(name string)          { c.stmts[name] = true }
func (c *fakeConn) RemoveStatement(name string)       { delete(c.stmts, name) }

func (c *fakeConn) Receive() (pgproto3.BackendMessage, error) {
	c.p.mu.Lock()
	fails := c.p.panicOnReceive && strings.Contains(c.lastQuery, c.p.panicAfter)
	if fails {
		c.p.panicOnReceive = false
	}
	c.p.mu.Unlock()
	if fails {
		panic("test of a panic inside an exchange")
	}
	return c.fe.Receive()
}

func (c *fakeConn) Cancel(context.Context) error {
	c.f.cancels <- struct{}{}
	return nil
}

func (c *fakeConn) Release() {
	c.p.mu.Lock()
	c.p.idle[c.f.name] = append(c.p.idle[c.f.name], c)
	c.p.mu.Unlock()
	<-c.p.slots[c.f.name]
}

func (c *fakeConn) Discard() {
	_ = c.c.Close()
	c.p.mu.Lock()
	c.p.discarded++
	c.p.mu.Unlock()
	<-c.p.slots[c.f.name]
}

// fakeViews is a tracker.ViewSource whose view the tests set.
type fakeViews struct {
	mu      sync.Mutex
	view    tracker.View
	changed chan struct{}
}

func (v *fakeViews) View(string) (tracker.View, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view, true
}

func (v *fakeViews) Changed(string) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fakeViews) set(change func(*tracker.View)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(&v.view)
	close(v.changed)
	v.changed = make(chan struct{})
}

// fakeConfirmer confirms everything unless a test sets answer.
type fakeConfirmer struct {
	mu     sync.Mutex
	st     *store
	answer func(confirmer.Request) (confirmer.Result, error)
	asked  []confirmer.Request
}

func (c *fakeConfirmer) Confirm(_ context.Context, req confirmer.Request) (confirmer.Result, error) {
	c.mu.Lock()
	c.asked = append(c.asked, req)
	answer := c.answer
	c.mu.Unlock()
	if answer != nil {
		return answer(req)
	}
	pos := req.Position
	if pos.IsZero() {
		pos = c.st.end()
	}
	return confirmer.Result{Outcome: confirmer.Confirmed, Position: pos, Lineage: tracker.Lineage{{Term: 1}}}, nil
}

func (c *fakeConfirmer) set(answer func(confirmer.Request) (confirmer.Result, error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer = answer
}

type unlimitedRetries struct{}

func (unlimitedRetries) CountRequest()    {}
func (unlimitedRetries) AllowRetry() bool { return true }

type catalogs struct{ c *checker.Catalog }

func (c catalogs) Catalog() *checker.Catalog { return c.c }
func (catalogs) Changed() <-chan struct{}    { return nil }

type tokenKeys [][]byte

func (k tokenKeys) TokenKeys() [][]byte { return k }

func verifier(password string) string {
	salt := []byte("0123456789abcdef")
	salted, err := pbkdf2.Key(sha256.New, password, salt, 4096, sha256.Size)
	if err != nil {
		panic(err)
	}
	mac := func(key []byte, text string) []byte {
		h := hmac.New(sha256.New, key)
		h.Write([]byte(text))
		return h.Sum(nil)
	}
	stored := sha256.Sum256(mac(salted, "Client Key"))
	b := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$4096:%s$%s:%s", b(salt), b(stored[:]), b(mac(salted, "Server Key")))
}

// fixture is one proxy in front of a fake group with primary "a" and replica
// "b".
type fixture struct {
	t       testing.TB
	st      *store
	a, b    *fakeServer
	pool    *fakePool
	views   *fakeViews
	confirm *fakeConfirmer
	relayer *relayer.Relayer
	gate    *gatekeeper.Gatekeeper
	addr    string
	cfg     relayer.Config
	quotas  charger.Quotas
}

func newFixture(t testing.TB, change ...func(*fixture)) *fixture {
	fx := &fixture{t: t, st: newStore()}
	fx.cfg = relayer.Config{PrimaryWait: 2 * time.Second, ConfirmWait: 2 * time.Second}
	for _, c := range change {
		c(fx)
	}
	fx.a = newFakeServer(t, "a", tracker.RolePrimary, fx.st)
	fx.b = newFakeServer(t, "b", tracker.RoleReplica, fx.st)
	fx.pool = &fakePool{
		servers: map[string]*fakeServer{"a": fx.a, "b": fx.b}, idle: make(map[string][]*fakeConn), refuse: make(map[string]bool),
		slots: map[string]chan struct{}{"a": make(chan struct{}, 2), "b": make(chan struct{}, 2)},
	}
	fx.confirm = &fakeConfirmer{st: fx.st}
	fx.views = &fakeViews{changed: make(chan struct{}), view: tracker.View{
		Group: "g", Term: 1, Primary: "a",
		Replicas: []tracker.ReplicaView{{Server: "b", Log: fx.st.end(), FreshAt: time.Now(), Reachable: true}},
	}}
	catalog := catalogs{checker.NewCatalog(checker.Manifest{
		Groups: []checker.Group{{Name: "g", Database: "db", Servers: []checker.Server{{Name: "a"}, {Name: "b"}}}},
		Reads:  []checker.ReadRule{{Group: "g", Tables: []string{"kv"}, MaxAge: checker.Duration(time.Hour)}},
		Callers: []checker.Caller{
			{Name: "web", Groups: []string{"g"}, ScramVerifier: verifier("secret"), ConnectionLimit: 1000, PinnedLimit: 1},
			{Name: "none", ScramVerifier: verifier("secret"), ConnectionLimit: 1},
		},
	})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	fx.relayer = relayer.New(fx.cfg, relayer.Dependencies{
		Catalogs: catalog, Views: fx.views, Acquirer: fx.pool, Confirmer: fx.confirm, RetryBudget: unlimitedRetries{},
		Classifier: classifier.New(classifier.Config{}), Tokener: tokener.New(tokenKeys{[]byte("key")}, clockwork.NewRealClock()), Quotas: fx.quotas, Log: log,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fx.addr = l.Addr().String()
	fx.gate = gatekeeper.New(gatekeeper.Config{Instance: "entry-1"}, gatekeeper.Dependencies{Catalogs: catalog, Relayer: fx.relayer, Log: log}, l)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if n := fx.gate.Expire(ctx); n != 0 {
			t.Errorf("%d sessions left after the drain", n)
		}
		if n := fx.relayer.InFlight("g"); n != 0 {
			t.Errorf("%d transactions in flight after the drain", n)
		}
		for name, slots := range fx.pool.slots {
			if len(slots) != 0 {
				t.Errorf("%d connections to %s not released", len(slots), name)
			}
		}
	})
	return fx
}

func (fx *fixture) url() string { return "postgres://web:secret@" + fx.addr + "/db?sslmode=disable" }

func (fx *fixture) connect(change ...func(*pgx.ConnConfig)) *pgx.Conn {
	fx.t.Helper()
	cfg, err := pgx.ParseConfig(fx.url())
	if err != nil {
		fx.t.Fatal(err)
	}
	for _, c := range change {
		c(cfg)
	}
	conn, err := pgx.ConnectConfig(context.Background(), cfg)
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// code returns the SQLSTATE of an error.
func code(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return fmt.Sprint(err)
}
