package director_test

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/concluder"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/director"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/runner"
	"marigoldhub.example/hub/internal/terminator"
	"marigoldhub.example/hub/internal/tokener"
	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/internal/translator"
)

// conn is a server connection that answers with the given messages and is lost then.
type conn struct {
	pooler.Conn
	server  string
	answers []pgproto3.BackendMessage
	given   int // how often it was given back
}

func (c *conn) Server() string                   { return c.server }
func (c *conn) Send(...pgproto3.FrontendMessage) {}
func (c *conn) Flush() error                     { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) Release()                         { c.given++ }
func (c *conn) Discard()                         { c.given++ }

func (c *conn) Receive() (pgproto3.BackendMessage, error) {
	if len(c.answers) == 0 {
		return nil, io.EOF
	}
	m := c.answers[0]
	c.answers = c.answers[1:]
	return m, nil
}

// session is a director in a group with primary "a" and replicas "b" and "c". Each connection
// that it acquires answers with the next of the scripts.
type session struct {
	*director.Director
	scripts  []messages
	servers  []string // of the connections, in order
	conns    []*conn
	retries  int // that the budget allows
	view     tracker.View
	retainer *retainer.Retainer
	out      *responder.Output
	parse    *classifier.Classifier
	group    *acquirer.Group
	counters director.Counters
	// superseded is how many confirmations report that the primary was replaced and its last
	// records are not in the next term.
	superseded int
	charge     *charger.Charger
	// refuses is set when the quota admits nothing more; the token of an admitted operation has
	// expired then. refunded counts operations that were given back.
	refuses  bool
	refunded int
}

// Admit makes the session the quota of its team.
func (s *session) Admit(string, time.Time) (charger.Operation, error) {
	if s.refuses {
		return nil, errors.New("over the quota")
	}
	return operation{s}, nil
}

type operation struct{ s *session }

func (o operation) IsExpired() bool { return o.s.refuses }
func (o operation) Done()           {}
func (o operation) Refund()         { o.s.refunded++ }

func (s *session) Acquire(_ context.Context, req pooler.Request) (pooler.Conn, error) {
	if len(s.scripts) == 0 {
		return nil, &pooler.RefusedError{Server: req.Server, Reason: pooler.ReasonQueueFull}
	}
	c := &conn{server: req.Server, answers: s.scripts[0]}
	s.scripts, s.servers, s.conns = s.scripts[1:], append(s.servers, req.Server), append(s.conns, c)
	return c, nil
}

func (s *session) CountRequest() {}

func (s *session) AllowRetry() bool {
	s.retries--
	return s.retries >= 0
}

func (s *session) View(string) (tracker.View, bool) { return s.view, true }
func (s *session) Changed(string) <-chan struct{}   { return nil }

func (s *session) Confirm(_ context.Context, req confirmer.Request) (confirmer.Result, error) {
	if s.superseded > 0 {
		s.superseded--
		return confirmer.Result{Outcome: confirmer.Superseded, Position: tracker.Position{Term: 2, Offset: 1}, Lineage: tracker.Lineage{{Term: 2}}}, nil
	}
	pos := req.Position
	if pos.IsZero() {
		pos = tracker.Position{Term: 1, Offset: 7}
	}
	return confirmer.Result{Outcome: confirmer.Confirmed, Position: pos}, nil
}

type catalogs struct{ c *checker.Catalog }

func (c catalogs) Catalog() *checker.Catalog { return c.c }
func (catalogs) Changed() <-chan struct{}    { return nil }

type tokenKeys [][]byte

func (k tokenKeys) TokenKeys() [][]byte { return k }

func newSession(t *testing.T) *session { return newSessionWithWait(t, 5*time.Second) }

func newSessionWithWait(t *testing.T, primaryWait time.Duration) *session {
	caller, _ := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	clock := clockwork.NewRealClock()
	fresh := func(server string) tracker.ReplicaView {
		return tracker.ReplicaView{Server: server, Log: tracker.Position{Term: 1, Offset: 7}, FreshAt: time.Now(), Reachable: true}
	}
	s := &session{
		retries: 100, parse: classifier.New(classifier.Config{}), group: acquirer.NewGroup(),
		view: tracker.View{Group: "g", Term: 1, Primary: "a", Replicas: []tracker.ReplicaView{fresh("b"), fresh("c")}},
		counters: director.Counters{
			BoundedReads: metrics.NewCounter(), ReplicaReads: metrics.NewCounter(), ReplicaReadsRejected: metrics.NewCounter(), Retries: metrics.NewCounter(),
		},
	}
	catalog := catalogs{checker.NewCatalog(checker.Manifest{
		Groups: []checker.Group{{Name: "g", Database: "db", Servers: []checker.Server{{Name: "a"}, {Name: "b"}, {Name: "c"}}}},
		Reads:  []checker.ReadRule{{Group: "g", Tables: []string{"kv"}, MaxAge: checker.Duration(time.Hour)}},
	})}
	cert := certifier.New(certifier.Config{Group: "g", Confirmer: s, Wait: time.Second})
	acq := acquirer.New(acquirer.Config{
		Group: "g", Shared: s.group, Views: s, Pool: s, Check: cert.Check, Clock: clock, PrimaryWait: primaryWait, Context: t.Context(), Waits: metrics.NewCounter(),
	})
	s.retainer = retainer.New(retainer.Config{Pins: &retainer.Pins{}, Limit: 1, EndUse: acq.EndUse})
	s.out = responder.New(responder.Config{Conn: caller, HoldsServer: acq.IsRunning})
	s.charge = charger.New(charger.Config{Quotas: s, Team: "t", Clock: clock, Refused: metrics.NewCounter()})
	minimum := &certifier.Minimum{}
	run := runner.New(runner.Config{
		Group: "g", Output: s.out, Acquirer: acq, Retainer: s.retainer, Charger: s.charge, Certifier: cert, Views: s,
		Statements: &preparer.Set{}, Parser: translator.Parser{Classifier: s.parse}, ResponseBufferLimit: 1 << 10, BatchLimit: 1 << 10, Clock: clock,
	})
	s.Director = director.New(director.Config{
		Group: "g", Router: router.New(router.Config{Policy: router.Session}, catalog, s, func(_, server string) int { return s.group.Reads(server) }),
		Views: s, RetryBudget: s, Counters: s.counters, ReplicaWait: time.Second, Clock: clock,
		Shared: s.group, Acquirer: acq, Retainer: s.retainer, Charger: s.charge, Certifier: cert, Minimum: minimum, Output: s.out, Runner: run,
		Concluder: concluder.New(concluder.Config{
			Group: "g", Output: s.out, Acquirer: acq, Retainer: s.retainer, Certifier: cert, Minimum: minimum,
			Tokener: tokener.New(tokenKeys{[]byte("key")}, clock), Clock: clock, Commits: metrics.NewCounter(),
		}),
	})
	return s
}

func (s *session) plan(b *batcher.Batch) *planner.Plan {
	none := func(string) (*classifier.Result, bool) { return nil, false }
	return planner.Make(planner.Input{Query: b.Query, Messages: b.Messages, InTransaction: s.retainer.InTransaction(), Classifier: s.parse, Statement: none, Portal: none})
}

type messages = []pgproto3.BackendMessage

func join(parts ...messages) messages {
	var all messages
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

var ready = &pgproto3.ReadyForQuery{TxStatus: 'I'}

func done(tag string) messages {
	return messages{&pgproto3.CommandComplete{CommandTag: []byte(tag)}, ready}
}

func failed(code string) messages {
	return messages{&pgproto3.ErrorResponse{Severity: "ERROR", Code: code}, ready}
}

// statusRow is the answer of a server to the status query, which has applied up to the offset.
func statusRow(role, applied string) messages {
	d := &pgproto3.RowDescription{}
	for _, n := range []string{"server", "role", "term", "promoter", "log_term", "log_offset", "lineage", "leaving", "connections", "applied_offset"} {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(n), DataTypeOID: 25, DataTypeSize: -1})
	}
	values := &pgproto3.DataRow{}
	for _, v := range []string{"x", role, "1", "x", "1", "7", "1:0", "f", "1", applied} {
		values.Values = append(values.Values, []byte(v))
	}
	return messages{d, values, &pgproto3.CommandComplete{}, ready}
}

// Guards against batches that run again without a proof or beyond the budget, against reads that
// fail although another server could run them, and against connections that are kept.
func TestRun(t *testing.T) {
	primary := statusRow("primary", "7")
	written := join(done("INSERT 0 1"), primary)
	read := join(done("SELECT 0"), primary)
	atReplica := join(statusRow("replica", "7"), done("SELECT 0"))
	behind := join(statusRow("replica", "6"), done("SELECT 0"))
	insert, strict, bounded := "insert into kv values ('x')", "select w from other", "select v from kv"
	lost := messages(nil)
	cases := []struct {
		name, sql string
		retries   int
		scripts   []messages
		// servers are those that were tried, code that of the failure.
		servers, code string
		// bounded, served and rejected are the counts of reads, again that of retries.
		bounded, served, rejected, again int64
	}{
		{"write", insert, 9, []messages{written}, "a", "", 0, 0, 0, 0},
		{"write, answer lost", insert, 9, []messages{lost, written}, "a", "08007", 0, 0, 0, 0},
		{"write, refused and run", insert, 9, []messages{join(failed(resolver.CodeReadOnly), primary), written}, "a a", "", 0, 0, 0, 1},
		{"write, refused, no budget", insert, 0, []messages{join(failed(resolver.CodeReadOnly), primary), written}, "a", "40001", 0, 0, 0, 0},
		{"strict read, lost once", strict, 9, []messages{lost, read}, "a a", "", 0, 0, 0, 1},
		{"strict read, always lost", strict, 9, []messages{lost, lost, lost, lost, read}, "a a a a", "40001", 0, 0, 0, 3},
		{"error of the statement", insert, 9, []messages{join(failed("22012"), primary)}, "a", "", 0, 0, 0, 0},
		{"no connection", insert, 9, nil, "", "40001", 0, 0, 0, 0},
		{"bounded read", bounded, 9, []messages{atReplica}, "replica", "", 1, 1, 0, 0},
		{"bounded read, replica behind", bounded, 9, []messages{behind, atReplica}, "replica replica", "", 1, 1, 1, 0},
		{"bounded read, replicas lost", bounded, 9, []messages{lost, lost, read}, "replica replica a", "", 1, 0, 0, 0},
		{"bounded read, no budget", bounded, 0, []messages{lost, read}, "replica a", "", 1, 0, 0, 0},
		{"bounded read fails by itself", bounded, 9, []messages{join(statusRow("replica", "7"), failed("22012"))}, "replica", "", 1, 1, 0, 0},
		{"bounded read, replica ends the connection", bounded, 9, []messages{join(statusRow("replica", "7"), messages{&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"}}), atReplica}, "replica replica", "", 1, 1, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSession(t)
			s.retries, s.scripts = c.retries, c.scripts
			b := &batcher.Batch{Query: &pgproto3.Query{String: c.sql}}
			failure, err := s.Run(b, s.plan(b))
			code := ""
			if failure != nil {
				code = failure.Code
			}
			if err != nil || code != c.code {
				t.Errorf("got %q, %v, want %q", code, err, c.code)
			}
			if got := strings.NewReplacer("b", "replica", "c", "replica").Replace(strings.Join(s.servers, " ")); got != c.servers {
				t.Errorf("tried %q, want %q", got, c.servers)
			}
			for i, conn := range s.conns {
				if conn.given != 1 {
					t.Errorf("connection %d was given back %d times", i, conn.given)
				}
			}
			if got, want := [4]int64{s.counters.BoundedReads.Count(), s.counters.ReplicaReads.Count(), s.counters.ReplicaReadsRejected.Count(), s.counters.Retries.Count()}, [4]int64{c.bounded, c.served, c.rejected, c.again}; got != want {
				t.Errorf("bounded reads, at replicas, rejected, retries: %v, want %v", got, want)
			}
			if n := s.group.InFlight() + s.group.Reads("b") + s.group.Reads("c"); n != 0 {
				t.Errorf("%d in flight", n)
			}
		})
	}
}

// Guards against a batch that is retried for longer than a caller waits for a primary.
func TestRetriesEndWithWait(t *testing.T) {
	s := newSessionWithWait(t, time.Nanosecond)
	s.scripts = []messages{nil, nil}
	b := &batcher.Batch{Query: &pgproto3.Query{String: "select w from other"}}
	if failure, err := s.Run(b, s.plan(b)); failure == nil || failure.Code != resolver.CodeNotRun || err != nil || len(s.conns) != 1 {
		t.Errorf("got %v, %v after %d runs", failure, err, len(s.conns))
	}
}

// Guards against an operation that stays charged though each server refused it before it ran.
func TestRefusedReadIsRefunded(t *testing.T) {
	s := newSession(t)
	refused := join(statusRow("replica", "7"), failed(resolver.CodeTooManyConnections))
	s.scripts = []messages{refused, refused}
	b := &batcher.Batch{Query: &pgproto3.Query{String: "select v from kv"}}
	p := s.plan(b)
	if failure := s.charge.Admit(p.Executed, false); failure != nil {
		t.Fatal(failure.Message)
	}
	if failure, err := s.Run(b, p); failure == nil || failure.Code != resolver.CodeNotRun || err != nil || len(s.conns) != 2 {
		t.Errorf("got %v, %v after %d runs", failure, err, len(s.conns))
	}
	s.charge.Settle(true)
	if s.refunded != 1 {
		t.Errorf("refunded %d times", s.refunded)
	}
}

// Guards against an operation that begins on a pinned connection after its token has expired.
func TestExpiredOperationOnPinnedConnection(t *testing.T) {
	s := newSession(t)
	pinned := &conn{server: "a", answers: join(done("SELECT 0"), statusRow("primary", "7"))}
	if failure := s.retainer.Pin(func() (pooler.Conn, *pgproto3.ErrorResponse) { return pinned, nil }, nil); failure != nil {
		t.Fatal(failure.Message)
	}
	b := &batcher.Batch{Query: &pgproto3.Query{String: "select w from other"}}
	p := s.plan(b)
	if failure := s.charge.Admit(p.Executed, false); failure != nil {
		t.Fatal(failure.Message)
	}
	s.refuses = true
	failure, err := s.Run(b, p)
	if failure == nil || failure.Code != resolver.CodeQuotaExceeded || err != nil || pinned.given != 0 || s.group.InFlight() != 0 {
		t.Errorf("got %v, %v, given back %d times, %d in flight", failure, err, pinned.given, s.group.InFlight())
	}
}

// Guards against reads of one session that change between replicas without need.
func TestReadsStayAtReplica(t *testing.T) {
	s := newSession(t)
	for range 3 {
		s.scripts = append(s.scripts, join(statusRow("replica", "7"), done("SELECT 0")))
		b := &batcher.Batch{Query: &pgproto3.Query{String: "select v from kv"}}
		if failure, err := s.Run(b, s.plan(b)); failure != nil || err != nil {
			t.Fatal(failure, err)
		}
		slices.Reverse(s.view.Replicas) // of equal replicas the first one is chosen
	}
	if len(slices.Compact(slices.Clone(s.servers))) != 1 {
		t.Errorf("read at %v", s.servers)
	}
}

// Guards against a server connection that is neither retained nor given back when a batch that
// pins its connection is retried: it would hold a place at the former primary until the session
// ends.
func TestRetryOfPinningBatch(t *testing.T) {
	answer := join(done("LISTEN"), statusRow("primary", "7"))
	cases := []struct {
		name       string
		superseded int
		retries    int
		scripts    []messages
		code       string
		// retained is the index of the connection that the session retains.
		retained int
	}{
		{"confirmed", 0, 9, []messages{answer}, "", 0},
		{"replaced once", 1, 9, []messages{answer, answer}, "", 1},
		{"replaced twice", 2, 9, []messages{answer, answer, answer}, "", 2},
		{"replaced, no budget", 1, 0, []messages{answer, answer}, "40001", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSession(t)
			s.superseded, s.retries, s.scripts = c.superseded, c.retries, c.scripts
			b := &batcher.Batch{Query: &pgproto3.Query{String: "listen changes"}}
			s.retainer.ReservePin()
			failure, err := s.Run(b, s.plan(b))
			s.retainer.SettlePin()
			code := ""
			if failure != nil {
				code = failure.Code
			}
			if err != nil || code != c.code || len(s.conns) != c.retained+1 {
				t.Fatalf("got %q, %v after %d runs, want %q", code, err, len(s.conns), c.code)
			}
			for i, conn := range s.conns {
				if want := min(1, c.retained-i); conn.given != want {
					t.Errorf("connection %d was given back %d times, want %d", i, conn.given, want)
				}
			}
			if s.retainer.Conn() == nil || s.retainer.EndsOnError() {
				t.Errorf("connection %v, ends on error %v", s.retainer.Conn(), s.retainer.EndsOnError())
			}
			if n := s.group.InFlight(); n != 0 {
				t.Errorf("%d in flight", n)
			}
		})
	}
}

// Guards against a session whose state was on a former primary and that goes on at another
// server, and against one that ends without need.
func TestPinnedServer(t *testing.T) {
	for _, c := range []struct {
		name, primary string
		ends          bool
	}{{"still the primary", "a", false}, {"replaced", "b", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSession(t)
			pinned := &conn{server: "a", answers: join(done("SELECT 0"), statusRow("primary", "7"))}
			if failure := s.retainer.Pin(func() (pooler.Conn, *pgproto3.ErrorResponse) { return pinned, nil }, nil); failure != nil {
				t.Fatal(failure.Message)
			}
			s.view.Primary = c.primary
			b := &batcher.Batch{Query: &pgproto3.Query{String: "select w from other"}}
			failure, err := s.Run(b, s.plan(b))
			var fatal *terminator.FatalError
			if errors.As(err, &fatal) != c.ends || failure != nil || len(s.servers) > 0 {
				t.Errorf("got %v, %v, tried %v", failure, err, s.servers)
			}
			if c.ends && fatal.Response.Code != resolver.CodeShutdown {
				t.Errorf("got %s", fatal.Response.Code)
			}
		})
	}
}

// Guards against a batch that ends with Flush and is taken for complete: its connection must
// wait for Sync, and a failure or a refusal before that rolls everything back.
func TestFlush(t *testing.T) {
	parsed := messages{&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}}
	cases := []struct {
		name    string
		answers messages
		// abandons is set if the batch is refused before Sync.
		abandons bool
		code     string
		discards bool
	}{
		{"synced", join(messages{ready}, statusRow("primary", "7")), false, "", false},
		{"lost at Sync", nil, false, "08007", true},
		{"refused", nil, true, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSession(t)
			s.scripts = []messages{join(parsed, c.answers)}
			b := &batcher.Batch{
				Messages: []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "insert into kv values ('x')"}, &pgproto3.Bind{}, &pgproto3.Execute{}}, Flushed: true,
			}
			if failure, err := s.Run(b, s.plan(b)); failure != nil || err != nil {
				t.Fatal(failure, err)
			}
			if !s.retainer.AwaitsSync() || s.conns[0].given != 0 || s.group.InFlight() != 1 {
				t.Errorf("awaits Sync %v, given back %d times, %d in flight", s.retainer.AwaitsSync(), s.conns[0].given, s.group.InFlight())
			}
			code := ""
			if c.abandons {
				s.Abandon()
			} else {
				rest := &batcher.Batch{}
				if failure := s.Continue(rest, s.plan(rest)); failure != nil {
					code = failure.Code
				}
			}
			if code != c.code || s.retainer.AwaitsSync() || s.conns[0].given != 1 || s.group.InFlight() != 0 {
				t.Errorf("got %q, awaits Sync %v, given back %d times, %d in flight", code, s.retainer.AwaitsSync(), s.conns[0].given, s.group.InFlight())
			}
		})
	}
}
