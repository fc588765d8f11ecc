package runner_test

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/router"
	"marigoldhub.example/hub/internal/runner"
	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/internal/translator"
)

// conn is a server connection that answers with the given messages, and then with err.
type conn struct {
	pooler.Conn
	answers []pgproto3.BackendMessage
	err     error
	sent    []pgproto3.FrontendMessage
}

func (c *conn) Server() string                        { return "a" }
func (c *conn) Send(msgs ...pgproto3.FrontendMessage) { c.sent = append(c.sent, msgs...) }
func (c *conn) Flush() error                          { return nil }
func (c *conn) SetReadDeadline(time.Time) error       { return nil }
func (c *conn) HasStatement(string) bool              { return false }
func (c *conn) AddStatement(string)                   {}

func (c *conn) Receive() (pgproto3.BackendMessage, error) {
	if len(c.answers) == 0 {
		return nil, c.err
	}
	m := c.answers[0]
	c.answers = c.answers[1:]
	return m, nil
}

// views is a tracker.ViewSource whose view does not change.
type views struct{ view tracker.View }

func (v views) View(string) (tracker.View, bool) { return v.view, true }
func (views) Changed(string) <-chan struct{}     { return nil }

// fixture is a session whose caller reads everything.
type fixture struct {
	runner *runner.Runner
	out    *responder.Output
	parse  *classifier.Classifier
}

func newFixture(t *testing.T, view tracker.View) *fixture {
	session, caller := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, caller) }()
	t.Cleanup(func() { _ = session.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	fx := &fixture{parse: classifier.New(classifier.Config{})}
	clock := clockwork.NewRealClock()
	acq := acquirer.New(acquirer.Config{Shared: acquirer.NewGroup(), Clock: clock, Waits: metrics.NewCounter()})
	fx.out = responder.New(responder.Config{Conn: session, WriteWait: time.Second, HoldsServer: acq.IsRunning, IsStarved: func() bool { return false }})
	fx.runner = runner.New(runner.Config{
		Group: "g", Caller: "web", Output: fx.out, Acquirer: acq, Retainer: retainer.New(retainer.Config{Pins: &retainer.Pins{}, EndUse: acq.EndUse}),
		Charger: charger.New(charger.Config{}), Certifier: certifier.New(certifier.Config{Group: "g"}), Views: views{view},
		Statements: &preparer.Set{}, Parser: translator.Parser{Classifier: fx.parse},
		ResponseBufferLimit: 100, BatchLimit: 50 << 10, Clock: clock, Log: log,
	})
	return fx
}

func (fx *fixture) exchange(c pooler.Conn, sql string) *runner.Exchange {
	return fx.exchangeOf(c, simple(sql))
}

func (fx *fixture) exchangeOf(c pooler.Conn, b *batcher.Batch) *runner.Exchange {
	none := func(string) (*classifier.Result, bool) { return nil, false }
	return fx.runner.New(c, b, planner.Make(planner.Input{Query: b.Query, Messages: b.Messages, Classifier: fx.parse, Statement: none, Portal: none}))
}

// extended is a batch that runs one statement by messages of the extended protocol.
func extended(sql string, more ...pgproto3.FrontendMessage) *batcher.Batch {
	return &batcher.Batch{Messages: append([]pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}}, more...)}
}

func simple(sql string) *batcher.Batch { return &batcher.Batch{Query: &pgproto3.Query{String: sql}} }

func tag(s string) *pgproto3.CommandComplete { return &pgproto3.CommandComplete{CommandTag: []byte(s)} }

func row(n int) *pgproto3.DataRow { return &pgproto3.DataRow{Values: [][]byte{make([]byte, n)}} }

var ready = &pgproto3.ReadyForQuery{TxStatus: 'I'}

// statusRow is the answer to the status query.
func statusRow(role string) []pgproto3.BackendMessage {
	columns := []string{"server", "role", "term", "promoter", "log_term", "log_offset", "lineage", "leaving", "connections", "applied_offset"}
	d := &pgproto3.RowDescription{}
	for _, n := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(n), DataTypeOID: 25, DataTypeSize: -1})
	}
	values := &pgproto3.DataRow{}
	for _, v := range []string{"a", role, "1", "x", "1", "7", "1:0", "f", "1", "7"} {
		values.Values = append(values.Values, []byte(v))
	}
	return []pgproto3.BackendMessage{d, values, tag("SELECT 1"), ready}
}

// Guards against an answer that is taken for complete though it broke off, against rows of a
// commit or a strict read that reach the caller before they are confirmed, and against a commit
// that does not show in the result.
func TestRun(t *testing.T) {
	failed := &pgproto3.ErrorResponse{Severity: "ERROR", Code: "22012"}
	answer := func(msgs ...pgproto3.BackendMessage) []pgproto3.BackendMessage { return msgs }
	big := answer(row(60), row(60), row(60))
	cases := []struct {
		name, sql string
		answers   []pgproto3.BackendMessage
		lost      bool
		// committed, partlySent and discard are those of the result, code that of its error,
		// row is set if the status row was read.
		committed, partlySent, discard, row bool
		code                                string
	}{
		{"write", "insert into kv values ('x')", append(answer(tag("INSERT 0 1"), ready), statusRow("primary")...), false, false, false, false, true, ""},
		{"no status row", "insert into kv values ('x')", answer(tag("INSERT 0 1"), ready), true, false, false, false, false, ""},
		{"failed write", "insert into kv values (1/0)", append(answer(failed, ready), statusRow("primary")...), false, false, false, false, true, "22012"},
		{"answer breaks off", "select w from other", answer(row(1)), true, false, false, false, false, ""},
		{"commit", "begin; insert into kv values ('x'); commit", append(answer(tag("BEGIN"), tag("INSERT 0 1"), tag("COMMIT"), ready), statusRow("primary")...), false, true, false, false, true, ""},
		{"error after a commit", "begin; commit; select 1/0", append(answer(tag("BEGIN"), tag("COMMIT"), failed, ready), statusRow("primary")...), false, true, false, false, true, "22012"},
		{"rows of a small read", "select w from other", append(answer(row(10), tag("SELECT 1"), ready), statusRow("primary")...), false, false, false, false, true, ""},
		{"rows beyond the limit", "select w from other", append(append(big, tag("SELECT 3"), ready), statusRow("primary")...), false, false, true, false, true, ""},
		{"rows after the tag of a write", "insert into kv values ('x'); select w from other", append(append(answer(tag("INSERT 0 1")), append(big, tag("SELECT 3"), ready)...), statusRow("primary")...), false, false, false, false, true, ""},
		{"statement that the parser does not know", "selec 1", append(answer(tag("SELECT 1"), ready), statusRow("primary")...), false, false, false, true, true, ""},
		{"server ends the connection", "select w from other", answer(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"}), true, false, false, false, false, "57P01"},
		{"unexpected message", "select w from other", answer(&pgproto3.CopyInResponse{}), true, false, false, false, false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, tracker.View{Term: 1, Primary: "a"})
			x := fx.exchange(&conn{answers: c.answers, err: io.EOF}, c.sql)
			err := x.Run()
			var lost *runner.LostError
			if errors.As(err, &lost) != c.lost {
				t.Errorf("got %v, lost %v", err, c.lost)
			}
			code := ""
			if x.Err != nil {
				code = x.Err.Code
			}
			if x.Committed != c.committed || x.PartlySent != c.partlySent || x.MustDiscard != c.discard || (x.Row != nil) != c.row || code != c.code {
				t.Errorf("committed %v, partly sent %v, discard %v, row %v, error %q", x.Committed, x.PartlySent, x.MustDiscard, x.Row != nil, code)
			}
		})
	}
}

// Guards against a wait for a server that is no longer the primary, and against one that gives up
// a primary because of a view that changes for a moment.
func TestWaits(t *testing.T) {
	cases := []struct {
		name string
		view tracker.View
		// timeouts is how often the view is checked before the connection fails.
		timeouts int
		want     string
	}{
		{"replaced", tracker.View{Term: 2, Primary: "b"}, 3, "backend server a was replaced as primary"},
		{"replaced, seen once", tracker.View{Term: 2, Primary: "b"}, 1, "connection to backend server a was lost"},
		{"primary unknown", tracker.View{Term: 2}, 3, "connection to backend server a was lost"},
		{"still the primary", tracker.View{Term: 1, Primary: "a"}, 3, "connection to backend server a was lost"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, c.view)
			x := fx.exchange(&silentConn{timeouts: c.timeouts}, "select w from other")
			if err := x.Run(); err == nil || !strings.HasSuffix(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// silentConn does not answer until some waits have ended, and fails then.
type silentConn struct {
	conn
	timeouts int
}

func (c *silentConn) Receive() (pgproto3.BackendMessage, error) {
	if c.timeouts == 0 {
		return nil, io.EOF
	}
	c.timeouts--
	return nil, os.ErrDeadlineExceeded
}

// Guards against the answer of a replica that is used without its status row, or although the
// row does not cover the read.
func TestReplicaRead(t *testing.T) {
	position := func(offset uint64) tracker.Position { return tracker.Position{Term: 1, Offset: offset} }
	answer := []pgproto3.BackendMessage{row(1), tag("SELECT 1"), ready}
	cases := []struct {
		name    string
		minimum tracker.Position
		status  []pgproto3.BackendMessage
		fails   bool
		// notCovered is set if that is why, and unread if the rest can be read to its end.
		notCovered, unread bool
	}{
		{"covered", position(7), statusRow("replica"), false, false, false},
		{"behind", position(8), statusRow("replica"), true, true, true},
		{"former primary", position(7), statusRow("primary"), true, true, true},
		{"no status row", position(7), []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Severity: "ERROR", Code: "57014"}, ready}, true, true, true},
		{"lost", position(7), nil, true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, tracker.View{Term: 1, Primary: "p"})
			q := &pgproto3.Query{String: "select v from kv"}
			server := &conn{err: io.EOF}
			if c.status != nil {
				server.answers = append(c.status, answer...)
			}
			choice := router.Choice{Replica: "a", MaxAge: time.Hour, View: tracker.ReplicaView{Server: "a", Log: position(1), FreshAt: time.Now()}}
			p := &planner.Plan{ReturnsData: true, Executed: fx.parse.Classify(q.String).Statements}
			x := fx.runner.NewReplicaRead(server, &batcher.Batch{Query: q}, p, choice, c.minimum)
			err := x.Run()
			if (err != nil) != c.fails || (err == runner.ErrNotCovered) != c.notCovered {
				t.Errorf("got %v", err)
			}
			if c.notCovered && x.DiscardAnswer() != c.unread {
				t.Error("the answer that is not used was not read")
			}
			if x.PartlySent {
				t.Error("a part of the answer was passed on")
			}
		})
	}
}

// Guards against a write that is reported as not run, and run again, though the error that ends
// the connection does not prove that it was rolled back.
func TestErrorsThatEndTheConnection(t *testing.T) {
	fatal := &pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "57P01"}
	crash := &pgproto3.ErrorResponse{Severity: "PANIC", SeverityUnlocalized: "PANIC", Code: "XX000"}
	failed := &pgproto3.ErrorResponse{Severity: "ERROR", Code: "22012"}
	bound := []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}}
	insert := "insert into kv values ('x')"
	cases := []struct {
		name    string
		batch   *batcher.Batch
		answers []pgproto3.BackendMessage
		// want is set if the batch may have committed.
		want bool
	}{
		{"statement is ended", simple(insert), []pgproto3.BackendMessage{fatal}, false},
		{"second statement is ended", simple(insert + ";" + insert), []pgproto3.BackendMessage{tag("INSERT 0 1"), fatal}, false},
		{"after the last statement", simple(insert), []pgproto3.BackendMessage{tag("INSERT 0 1"), fatal}, true},
		{"index is built concurrently", simple("create index concurrently i on kv (v)"), []pgproto3.BackendMessage{fatal}, true},
		{"index is built", simple("create index i on kv (v)"), []pgproto3.BackendMessage{fatal}, false},
		{"tables are vacuumed", simple("vacuum"), []pgproto3.BackendMessage{fatal}, true},
		{"server crashes", simple(insert), []pgproto3.BackendMessage{crash}, true},
		{"server crashes in a commit", simple("begin; " + insert + "; commit"), []pgproto3.BackendMessage{tag("BEGIN"), tag("INSERT 0 1"), crash}, true},
		{"server crashes after the statement failed", simple(insert), []pgproto3.BackendMessage{failed, crash}, false},
		{"server crashes in a read", simple("select w from other"), []pgproto3.BackendMessage{crash}, false},
		{"extended, ended after the statement", extended(insert), append(slices.Clone(bound), tag("INSERT 0 1"), fatal), true},
		{"extended, statement is ended", extended(insert), append(slices.Clone(bound), fatal), false},
		{"extended, Bind is ended", extended(insert), []pgproto3.BackendMessage{bound[0], fatal}, false},
		{"extended, second statement is ended", extended(insert, extended(insert).Messages...), append(slices.Clone(bound), tag("INSERT 0 1"), bound[0], bound[1], fatal), false},
		{"extended, ended before the portal is closed", extended(insert, &pgproto3.Close{ObjectType: 'P'}), append(slices.Clone(bound), tag("INSERT 0 1"), fatal), false},
		{"extended, ended after the portal was closed", extended(insert, &pgproto3.Close{ObjectType: 'P'}), append(slices.Clone(bound), tag("INSERT 0 1"), &pgproto3.CloseComplete{}, fatal), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, tracker.View{Term: 1, Primary: "a"})
			x := fx.exchangeOf(&conn{answers: c.answers, err: io.EOF}, c.batch)
			var lost *runner.LostError
			if err := x.Run(); !errors.As(err, &lost) {
				t.Errorf("got %v", err)
			}
			if got := x.MayHaveCommitted(); got != c.want {
				t.Errorf("may have committed: %v, want %v", got, c.want)
			}
		})
	}
}
