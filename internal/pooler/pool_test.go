package pooler

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/enroller"
	"marigoldhub.example/hub/internal/keyer"
	"marigoldhub.example/hub/internal/keyer/keyertest"
	"marigoldhub.example/hub/internal/messenger/wire"
	"marigoldhub.example/hub/internal/tracker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture implements the components that the pool uses.
type fixture struct {
	mu      sync.Mutex
	catalog *checker.Catalog
	changed chan struct{}
	primary string
	leaving map[string]bool
	// grants by server; nil means that there is no monitor.
	grants map[string]int
	// lamport is the Lamport time below which requests are ignored.
	lamport uint64
}

func (f *fixture) Catalog() *checker.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog
}

func (f *fixture) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fixture) setCatalog(m checker.Manifest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog = checker.NewCatalog(m)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fixture) setGrants(grants map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grants = grants
}

func (f *fixture) Grant(_ context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lamport := req.GetHeader().GetLamport(); lamport < f.lamport {
		return &wire.GrantResponse{Header: &wire.Header{Lamport: f.lamport}}, nil
	}
	resp := &wire.GrantResponse{IsMonitor: f.grants != nil, DurationMs: 3000}
	for server, n := range f.grants {
		resp.Grants = append(resp.Grants, &wire.ServerGrant{Server: server, Connections: uint32(n)})
	}
	return resp, nil
}

type views struct{ f *fixture }

func (v views) View(group string) (tracker.View, bool) {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	return tracker.View{Group: group, Primary: v.f.primary}, true
}

func (v views) Changed(string) <-chan struct{} { return nil }

type directory struct{}

var self = enroller.Member{Instance: "entry-0", Address: "127.0.0.1:1"}

func (directory) Self() enroller.Member                               { return self }
func (directory) Members() []enroller.Member                          { return []enroller.Member{self} }
func (directory) Holder(string) enroller.Member                       { return self }
func (directory) HolderInZone(string, string) (enroller.Member, bool) { return self, true }
func (directory) Changed() <-chan struct{}                            { return nil }

func manifest(servers ...checker.Server) checker.Manifest {
	return checker.Manifest{Groups: []checker.Group{{
		Name: "g", Database: "core", ServerUser: "proxy", ServerPasswordFile: "pw", Servers: servers,
	}}}
}

func entryOf(name string, s *scriptedServer, limit int) checker.Server {
	return checker.Server{Name: name, Address: s.address(), ConnectionLimit: limit}
}

func startPool(t testing.TB, f *fixture, m checker.Manifest, edit func(*Config)) *Pool {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	f.catalog, f.changed = checker.NewCatalog(m), make(chan struct{})
	cfg := Config{
		Catalog: f, Views: views{f}, Directory: directory{}, Granter: f, Log: log,
		Password: func(string) (string, error) { return "secret", nil },
		ServerLeaving: func(name string) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.leaving[name]
		},
	}
	if edit != nil {
		edit(&cfg)
	}
	p := New(cfg)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func acquire(t testing.TB, p *Pool, class Class) Conn {
	t.Helper()
	c, err := p.Acquire(context.Background(), Request{Group: "g", Server: "a", Class: class})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func reasonOf(err error) Reason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timeout waiting for " + what)
		}
	}
}

func statsOf(p *Pool, server string) Stats {
	for _, s := range p.Stats() {
		if s.Server == server {
			return s
		}
	}
	return Stats{}
}

// Guards against a server whose defaults differ from the settings that the
// proxy answers itself.
func TestStartupSettings(t *testing.T) {
	s := startServer(t, "secret")
	f := &fixture{}
	p := startPool(t, f, manifest(entryOf("a", s, 10)), nil)
	acquire(t, p, Write).Release()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, params := range s.startups {
		for name, want := range map[string]string{"client_encoding": "UTF8", "TimeZone": "UTC", "DateStyle": "ISO, MDY"} {
			if params[name] != want {
				t.Errorf("%s is %q at startup", name, params[name])
			}
		}
	}
	if len(s.startups) == 0 {
		t.Error("no connection was opened")
	}
}

// Guards against a next holder that gets a connection with an open transaction,
// unread responses or buffered messages.
func TestOnlyConnectionsAtRestReturn(t *testing.T) {
	tests := []struct {
		name string
		use  func(Conn)
		kept bool
	}{
		{"clean", func(c Conn) { run(t, c, "select") }, true},
		{"unused", func(Conn) {}, true},
		{"open transaction", func(c Conn) { run(t, c, "begin") }, false},
		{"unread response", func(c Conn) {
			c.Send(&pgproto3.Query{String: "select"})
			_ = c.Flush()
		}, false},
		{"response read in part", func(c Conn) {
			c.Send(&pgproto3.Query{String: "select"})
			_ = c.Flush()
			_, _ = c.Receive()
		}, false},
		{"message not flushed", func(c Conn) { c.Send(&pgproto3.Query{String: "select"}) }, false},
		{"no sync", func(c Conn) {
			c.Send(&pgproto3.Parse{Name: "s", Query: "select"})
			_ = c.Flush()
		}, false},
		{"two syncs, one response", func(c Conn) {
			c.Send(&pgproto3.Sync{}, &pgproto3.Sync{})
			_ = c.Flush()
			_, _ = c.Receive()
		}, false},
		{"server closed", func(c Conn) {
			c.Send(&pgproto3.Query{String: "die"})
			_ = c.Flush()
			_, _ = c.Receive()
		}, false},
		{"discarded", func(c Conn) { c.Discard() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t, "secret")
			f := &fixture{grants: map[string]int{"a": 1}}
			p := startPool(t, f, manifest(entryOf("a", s, 20)), nil)
			c := acquire(t, p, Write)
			id := c.(*handle).processID
			tt.use(c)
			c.Release()
			c.Release()
			next := acquire(t, p, Write)
			defer next.Release()
			if kept := next.(*handle).processID == id; kept != tt.kept {
				t.Errorf("connection kept: %v, want %v", kept, tt.kept)
			}
			if code := run(t, next, "select"); code != "" {
				t.Errorf("next holder got error %s", code)
			}
		})
	}
}

// Guards against an idle connection that is handed out although the server
// closed it.
func TestClosedIdleConnectionIsNoticed(t *testing.T) {
	s := startServer(t, "secret")
	p := startPool(t, &fixture{}, manifest(entryOf("a", s, 20)), nil)
	acquire(t, p, Write).Release()
	s.closeConns()
	waitFor(t, "close at the server", func() bool { return s.open() == 0 })
	c := acquire(t, p, Write)
	defer c.Release()
	run(t, c, "select")
}

// Guards against accepting a wrong password, and against an Acquire error that
// is no RefusedError and so does not prove that nothing was sent.
func TestRefusals(t *testing.T) {
	s := startServer(t, "other")
	up := startServer(t, "secret")
	m := manifest(entryOf("a", s, 20), entryOf("b", up, 20), checker.Server{Name: "c", Address: "127.0.0.1:1", ConnectionLimit: 20})
	m.Drains = []checker.Drain{{Group: "g", Server: "b"}}
	p := startPool(t, &fixture{}, m, nil)
	tests := []struct {
		server string
		want   Reason
	}{{"a", ReasonUnreachable}, {"b", ReasonLeaving}, {"c", ReasonUnreachable}, {"d", ReasonUnknown}}
	for _, tt := range tests {
		_, err := p.Acquire(context.Background(), Request{Group: "g", Server: tt.server, Class: Write})
		if got := reasonOf(err); got != tt.want {
			t.Errorf("server %s: reason %q (%v), want %q", tt.server, got, err, tt.want)
		}
	}
}

// Guards against a server that accepts connections but does not answer and
// delays requests for longer than the connect timeout.
func TestFrozenServer(t *testing.T) {
	s := startServer(t, "secret")
	s.frozen.Store(true)
	p := startPool(t, &fixture{grants: map[string]int{"a": 2}}, manifest(entryOf("a", s, 20)), nil)
	begun := time.Now()
	_, err := p.Acquire(context.Background(), Request{Group: "g", Server: "a", Class: Write})
	if got := reasonOf(err); got != ReasonUnreachable {
		t.Errorf("reason %q (%v), want unreachable", got, err)
	}
	if d := time.Since(begun); d > 1500*time.Millisecond {
		t.Errorf("refused after %v", d)
	}
}

// Guards against a leaving server that still receives work after 3 s. This
// includes a primary, after the grace period for a planned change of primary.
func TestLeavingServer(t *testing.T) {
	s := startServer(t, "secret")
	f := &fixture{primary: "a", grants: map[string]int{"a": 4}}
	p := startPool(t, f, manifest(entryOf("a", s, 20)), nil)
	acquire(t, p, Write).Release()
	f.mu.Lock()
	f.leaving = map[string]bool{"a": true}
	f.mu.Unlock()
	begun := time.Now()
	for {
		c, err := p.Acquire(context.Background(), Request{Group: "g", Server: "a", Class: Write})
		if err != nil {
			if got := reasonOf(err); got != ReasonLeaving {
				t.Errorf("reason %q, want leaving", got)
			}
			break
		}
		c.Release()
		if time.Since(begun) > 3*time.Second {
			t.Fatal("a leaving server still receives work after 3 s")
		}
		time.Sleep(time.Millisecond)
	}
	waitFor(t, "idle connections to close", func() bool { return s.open() == 0 })
}

// Guards against prepared statements that accumulate on a connection.
func TestStatementsAreBounded(t *testing.T) {
	s := startServer(t, "secret")
	p := startPool(t, &fixture{grants: map[string]int{"a": 1}}, manifest(entryOf("a", s, 20)), nil)
	waitFor(t, "the grant", func() bool { return statsOf(p, "a").Allowance == 1 })
	c := acquire(t, p, Write)
	for i := range maxStatements + 1 {
		c.AddStatement(fmt.Sprint("s", i))
	}
	c.HasStatement("s0")
	c.Release()
	c = acquire(t, p, Write)
	defer c.Release()
	if !c.HasStatement("s0") || c.HasStatement("s1") || !c.HasStatement(fmt.Sprint("s", maxStatements)) {
		t.Error("the least recently used statements were not the ones closed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.closed); n != maxStatements+1-statementsAfterTrim {
		t.Errorf("%d statements closed at the server", n)
	}
}

// Guards against requests being served by a server that the manifest no longer
// names.
func TestCatalogChange(t *testing.T) {
	a, b := startServer(t, "secret"), startServer(t, "secret")
	f := &fixture{}
	p := startPool(t, f, manifest(entryOf("a", a, 20)), nil)
	held := acquire(t, p, Write)
	f.setCatalog(manifest(entryOf("b", b, 20)))
	waitFor(t, "the new server", func() bool { return statsOf(p, "b").Open == 1 })
	_, err := p.Acquire(context.Background(), Request{Group: "g", Server: "a", Class: Write})
	if got := reasonOf(err); got != ReasonUnknown {
		t.Errorf("reason %q, want unknown_server", got)
	}
	run(t, held, "select")
	held.Release()
	waitFor(t, "the old connection to close", func() bool { return a.open() == 0 })
}

// Guards against an idle check that takes TLS records for unexpected data,
// against cancel requests without TLS, and against an unverified server.
func TestTLS(t *testing.T) {
	ca := keyertest.NewCA(t)
	keys, err := keyer.NewTLS(keyer.Config{}, ca.Issue(t, "server", net.IPv4(127, 0, 0, 1)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = keys.Close() }()
	s := startServer(t, "secret")
	s.tls = keys.Caller()
	m := manifest(entryOf("a", s, 20))
	m.Groups[0].ServerTLS = "verify"
	p := startPool(t, &fixture{grants: map[string]int{"a": 1}}, m, func(c *Config) { c.TLS = keys.Backend })
	c := acquire(t, p, Write)
	id := c.(*handle).processID
	c.Send(&pgproto3.Query{String: "sleep"})
	if err := errors.Join(c.Flush(), c.Cancel(context.Background())); err != nil {
		t.Fatal(err)
	}
	if code, err := drain(c); err != nil || code != "57014" {
		t.Fatalf("code %q, error %v, want 57014", code, err)
	}
	c.Release()
	next := acquire(t, p, Write)
	defer next.Release()
	if next.(*handle).processID != id {
		t.Error("an idle TLS connection was not reused")
	}
	strange := startPool(t, &fixture{grants: map[string]int{"a": 1}}, m, func(c *Config) {
		c.TLS = func() *tls.Config { return &tls.Config{RootCAs: x509.NewCertPool()} }
	})
	_, err = strange.Acquire(context.Background(), Request{Group: "g", Server: "a", Class: Write})
	if got := reasonOf(err); got != ReasonUnreachable {
		t.Errorf("reason %q (%v) for an unverified server, want unreachable", got, err)
	}
}

// Guards against more retries than 10 % of the requests plus 10.
func TestBudget(t *testing.T) {
	b := NewRetryBudget(RetryRatio, RetryReserve)
	retries := 0
	for range 1000 {
		b.CountRequest()
		if b.AllowRetry() {
			retries++
		}
	}
	if retries != 110 {
		t.Errorf("%d retries of 1000 requests, want 110", retries)
	}
}
