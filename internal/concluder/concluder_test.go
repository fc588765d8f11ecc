package concluder_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/concluder"
	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/rewriter"
	"marigoldhub.example/hub/internal/runner"
	"marigoldhub.example/hub/internal/tokener"
	"marigoldhub.example/hub/internal/tracker"
)

// conn is a server connection that answers with the given messages and is lost then.
type conn struct {
	pooler.Conn
	answers             []pgproto3.BackendMessage
	released, discarded int
}

func (c *conn) Server() string                   { return "a" }
func (c *conn) Send(...pgproto3.FrontendMessage) {}
func (c *conn) Flush() error                     { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) Cancel(context.Context) error     { return nil }
func (c *conn) Release()                         { c.released++ }
func (c *conn) Discard()                         { c.discarded++ }

func (c *conn) Receive() (pgproto3.BackendMessage, error) {
	if len(c.answers) == 0 {
		return nil, io.EOF
	}
	m := c.answers[0]
	c.answers = c.answers[1:]
	return m, nil
}

// confirm is a confirmer.Confirmer.
type confirm func(confirmer.Request) (confirmer.Result, error)

func (c confirm) Confirm(_ context.Context, req confirmer.Request) (confirmer.Result, error) {
	return c(req)
}

type tokenKeys [][]byte

func (k tokenKeys) TokenKeys() [][]byte { return k }

// fixture is a session with one exchange.
type fixture struct {
	retainer  *retainer.Retainer
	out       *responder.Output
	concluder *concluder.Concluder
	runner    *runner.Runner
	minimum   certifier.Minimum
	commits   metrics.Counter
	group     *acquirer.Group
	acquirer  *acquirer.Acquirer
}

func newFixture(t *testing.T, c confirm) *fixture {
	session, _ := net.Pipe()
	t.Cleanup(func() { _ = session.Close() })
	fx := &fixture{commits: metrics.NewCounter(), group: acquirer.NewGroup()}
	clock := clockwork.NewRealClock()
	views := views{}
	fx.acquirer = acquirer.New(acquirer.Config{Group: "g", Shared: fx.group, Views: views, Clock: clock, Waits: metrics.NewCounter(), PrimaryWait: time.Second})
	if failure := fx.acquirer.BeginUse(fx.acquirer.NewWait()); failure != nil {
		t.Fatal(failure.Message)
	}
	fx.retainer = retainer.New(retainer.Config{Pins: &retainer.Pins{}, Caller: "web", Limit: 1, EndUse: fx.acquirer.EndUse})
	fx.out = responder.New(responder.Config{Conn: session, HoldsServer: fx.acquirer.IsRunning})
	cert := certifier.New(certifier.Config{Group: "g", Confirmer: c, Wait: time.Second})
	fx.runner = runner.New(runner.Config{
		Group: "g", Output: fx.out, Acquirer: fx.acquirer, Retainer: fx.retainer, Charger: charger.New(charger.Config{}), Certifier: cert,
		Views: views, Statements: &preparer.Set{}, ResponseBufferLimit: 1 << 10, BatchLimit: 1 << 10, Clock: clock,
	})
	fx.concluder = concluder.New(concluder.Config{
		Group: "g", Caller: "web", Output: fx.out, Acquirer: fx.acquirer, Retainer: fx.retainer, Certifier: cert, Minimum: &fx.minimum,
		Keys: "web", Tokener: tokener.New(tokenKeys{[]byte("key")}, clock), Clock: clock, Commits: fx.commits,
	})
	return fx
}

type views struct{}

func (views) View(string) (tracker.View, bool) { return tracker.View{Term: 1, Primary: "a"}, true }
func (views) Changed(string) <-chan struct{}   { return nil }

// exchange returns an exchange whose answers have shown the result, with a part of the answer
// in the buffer.
func (fx *fixture) exchange(c pooler.Conn, p planner.Plan, r runner.Result) *runner.Exchange {
	x := fx.runner.New(c, &batcher.Batch{Query: &pgproto3.Query{}}, &p)
	evidence := x.Evidence
	x.Result = r
	x.Evidence = max(evidence, r.Evidence)
	fx.out.Send(&pgproto3.NoData{})
	return x
}

func position(offset uint64) tracker.Position { return tracker.Position{Term: 1, Offset: offset} }

func primary(offset uint64) *tracker.Status {
	return &tracker.Status{Role: tracker.RolePrimary, Log: position(offset)}
}

// Answers of the confirmer.
var (
	confirmed confirm = func(req confirmer.Request) (confirmer.Result, error) {
		pos := req.Position
		if pos.IsZero() {
			pos = position(7)
		}
		return confirmer.Result{Outcome: confirmer.Confirmed, Position: pos}, nil
	}
	notConfirmed confirm = func(confirmer.Request) (confirmer.Result, error) {
		return confirmer.Result{}, errors.New("late")
	}
	// cutOff says that the next term's log begins before the term of the commit.
	cutOff confirm = func(confirmer.Request) (confirmer.Result, error) {
		return confirmer.Result{Outcome: confirmer.Superseded, Position: tracker.Position{Term: 2, Offset: 1}, Lineage: tracker.Lineage{{Term: 2}}}, nil
	}
	// kept says that the next term's log has the commit's position.
	kept confirm = func(confirmer.Request) (confirmer.Result, error) {
		return confirmer.Result{
			Outcome: confirmer.Superseded, Position: tracker.Position{Term: 2, Offset: 99}, Lineage: tracker.Lineage{{Term: 1}, {Term: 2, Start: 50}},
		}, nil
	}
)

// Plans.
var (
	write  = planner.Plan{MayCommit: true, ImplicitWrite: true, ReturnsData: true}
	read   = planner.Plan{ReturnsData: true}
	commit = planner.Plan{MayCommit: true, ExplicitTransaction: true}
	call   = planner.Plan{MayCommit: true, ImplicitWrite: true, CommitsItself: true}
	begin  = planner.Plan{ExplicitTransaction: true, LeavesTransactionOpen: true}
)

// want is what is expected of a conclusion.
type want struct {
	// code is that of the failure, "" for a final answer; retry is set if the batch may run
	// again.
	code  string
	retry bool
	// status is the transaction status for the caller afterwards, 'I' if 0.
	status byte
	// discarded is set if the connection is closed, retained if it is kept.
	discarded, retained bool
}

func (fx *fixture) check(t *testing.T, v concluder.Verdict, c *conn, w want) {
	t.Helper()
	code := ""
	if v.Failure != nil {
		code = v.Failure.Code
	}
	if code != w.code || v.MayRetry != w.retry {
		t.Errorf("got %q, retry %v, want %q, %v", code, v.MayRetry, w.code, w.retry)
	}
	if dropped := fx.out.Len() == 0; dropped != (w.code != "") {
		t.Errorf("answer dropped: %v", dropped)
	}
	if w.status == 0 {
		w.status = 'I'
	}
	if got := fx.retainer.Status(); got != w.status {
		t.Errorf("status %c, want %c", got, w.status)
	}
	released := !w.discarded && !w.retained
	if (c.discarded == 1) != w.discarded || (c.released == 1) != released || (fx.retainer.Conn() != nil) != w.retained {
		t.Errorf("discarded %d, released %d times, retained %v", c.discarded, c.released, fx.retainer.Conn() != nil)
	}
	if n := fx.group.InFlight(); (n == 1) != w.retained {
		t.Errorf("%d in flight", n)
	}
}

// Guards against a batch that may have committed and is reported as not run, or run again, when
// its connection is lost.
func TestLost(t *testing.T) {
	failed := resolver.Error("22012", "division by zero", "")
	open := retainer.Transaction{IsOpen: true}
	cases := []struct {
		name   string
		tx     retainer.Transaction
		plan   planner.Plan
		result runner.Result
		want   want
	}{
		{"write", retainer.Transaction{}, write, runner.Result{}, want{code: "08007", discarded: true}},
		{"failed write", retainer.Transaction{}, write, runner.Result{Err: failed}, want{code: "40001", retry: true, discarded: true}},
		{"committed, then failed", retainer.Transaction{}, commit, runner.Result{Committed: true, Err: failed}, want{code: "08007", discarded: true}},
		{"failed procedure", retainer.Transaction{}, call, runner.Result{Err: failed}, want{code: "08007", discarded: true}},
		{"read", retainer.Transaction{}, read, runner.Result{}, want{code: "40001", retry: true, discarded: true}},
		{"read, partly sent", retainer.Transaction{}, read, runner.Result{PartlySent: true}, want{code: "40001", discarded: true}},
		{"begin", retainer.Transaction{}, begin, runner.Result{}, want{code: "40001", retry: true, discarded: true}},
		{"statement in a transaction", open, planner.Plan{ExplicitTransaction: true}, runner.Result{}, want{code: "40001", status: 'E', discarded: true}},
		{"commit of a transaction", open, commit, runner.Result{}, want{code: "08007", discarded: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, confirmed)
			conn := &conn{}
			if c.tx.IsOpen {
				fx.retainer.KeepInTransaction(conn, c.tx)
			}
			fx.check(t, fx.concluder.Lost(fx.exchange(conn, c.plan, c.result), errors.New("test")), conn, c.want)
		})
	}
}

// Guards against answers that are final without a confirmation, against outcomes that are
// reported without a proof, and against connections that are used again in the wrong state.
func TestConclude(t *testing.T) {
	refused := resolver.Error(resolver.CodeReadOnly, "read-only transaction", "")
	wrote := runner.Result{Status: 'I', Evidence: resolver.ProvedWrite, Row: primary(7)}
	unproved := runner.Result{Status: 'I', Evidence: resolver.Unproved, Row: primary(7)}
	former := runner.Result{Status: 'I', Evidence: resolver.Unproved, Row: &tracker.Status{Role: tracker.RoleReplica, Log: position(7)}}
	committed := runner.Result{Status: 'I', Committed: true, Evidence: resolver.ProvedWrite, Row: primary(7)}
	cases := []struct {
		name    string
		confirm confirm
		tx      retainer.Transaction
		pinned  bool
		plan    planner.Plan
		result  runner.Result
		want    want
		commits int64
	}{
		{"write", confirmed, retainer.Transaction{}, false, write, wrote, want{}, 1},
		{"write, not confirmed", notConfirmed, retainer.Transaction{}, false, write, wrote, want{code: "08007"}, 0},
		{"write, cut off", cutOff, retainer.Transaction{}, false, write, wrote, want{code: "40001", retry: true}, 0},
		{"write, kept", kept, retainer.Transaction{}, false, write, wrote, want{}, 1},
		{"no proof of a write, kept", kept, retainer.Transaction{}, false, write, unproved, want{code: "08007"}, 0},
		{"write at a server that is not the primary", confirmed, retainer.Transaction{}, false, write, former, want{code: "08007"}, 0},
		{"write, partly sent, cut off", cutOff, retainer.Transaction{}, false, write, runner.Result{Status: 'I', Evidence: resolver.ProvedWrite, Row: primary(7), PartlySent: true}, want{code: "40001"}, 0},
		{"write, unfit connection", confirmed, retainer.Transaction{}, false, write, runner.Result{Status: 'I', Evidence: resolver.ProvedWrite, Row: primary(7), MustDiscard: true}, want{discarded: true}, 1},
		{"commit", confirmed, retainer.Transaction{IsOpen: true}, false, commit, committed, want{}, 1},
		{"commit, cut off", cutOff, retainer.Transaction{IsOpen: true}, false, commit, committed, want{code: "40001"}, 0},
		{"commit without a status row", confirmed, retainer.Transaction{IsOpen: true}, false, commit, runner.Result{Status: 'I', Committed: true}, want{code: "08007", discarded: true}, 0},
		{"commit that leaves a transaction open", confirmed, retainer.Transaction{}, false, commit, runner.Result{Status: 'T', Committed: true}, want{code: "08007", discarded: true}, 0},
		{"strict read", confirmed, retainer.Transaction{}, false, read, runner.Result{Status: 'I', Row: primary(7)}, want{}, 0},
		{"strict read, later than the confirmation", confirmed, retainer.Transaction{}, false, read, runner.Result{Status: 'I', Row: primary(9)}, want{}, 0},
		{"strict read, not confirmed", notConfirmed, retainer.Transaction{}, false, read, runner.Result{Status: 'I', Row: primary(7)}, want{code: "40001"}, 0},
		{"strict read, replaced", kept, retainer.Transaction{}, false, read, runner.Result{Status: 'I', Row: primary(7)}, want{code: "40001", retry: true}, 0},
		{"strict read at a server that is not the primary", confirmed, retainer.Transaction{}, false, read, former, want{code: "40001", retry: true}, 0},
		{"error of the statement", notConfirmed, retainer.Transaction{}, false, write, runner.Result{Status: 'I', Err: resolver.Error("22012", "", "")}, want{}, 0},
		{"refused by the server", notConfirmed, retainer.Transaction{}, false, write, runner.Result{Status: 'I', Err: refused}, want{code: "40001", retry: true}, 0},
		{"refused on a pinned connection", notConfirmed, retainer.Transaction{}, true, write, runner.Result{Status: 'I', Err: refused}, want{retained: true}, 0},
		{"begin", notConfirmed, retainer.Transaction{}, false, begin, runner.Result{Status: 'T'}, want{status: 'T', retained: true}, 0},
		{"failed in a transaction", notConfirmed, retainer.Transaction{IsOpen: true}, false, planner.Plan{}, runner.Result{Status: 'E', Err: resolver.Error("22012", "", "")}, want{status: 'E', retained: true}, 0},
		{"primary is being replaced", notConfirmed, retainer.Transaction{IsOpen: true}, false, planner.Plan{}, runner.Result{Status: 'E', Err: refused}, want{code: "40001", status: 'E', discarded: true}, 0},
		{"write in a read-only transaction", notConfirmed, retainer.Transaction{IsOpen: true, IsReadOnly: true}, false, planner.Plan{}, runner.Result{Status: 'E', Err: refused}, want{status: 'E', retained: true}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, c.confirm)
			conn := &conn{}
			if c.tx.IsOpen {
				fx.retainer.KeepInTransaction(conn, c.tx)
			}
			if c.pinned {
				fx.retainer.ReservePin()
			}
			v := fx.concluder.Conclude(fx.exchange(conn, c.plan, c.result), nil)
			if c.pinned { // the count in flight ends with the batch
				_ = fx.acquirer.BeginUse(fx.acquirer.NewWait())
			}
			fx.check(t, v, conn, c.want)
			if n := fx.commits.Count(); n != c.commits || fx.minimum.IsSet != (c.commits == 1) {
				t.Errorf("%d commits, want %d; minimum %+v", n, c.commits, fx.minimum)
			}
		})
	}
}

// Guards against request keys whose outcome is reported without a proof: the request could run
// twice, or be lost.
func TestCloseKey(t *testing.T) {
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	exists := []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Severity: "ERROR", Code: resolver.CodeUniqueViolation}, ready}
	inserted := []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}, ready}
	stored := func(outcome string) []pgproto3.BackendMessage {
		return []pgproto3.BackendMessage{&pgproto3.DataRow{Values: [][]byte{[]byte(outcome)}}, &pgproto3.CommandComplete{}, ready}
	}
	join := func(parts ...[]pgproto3.BackendMessage) []pgproto3.BackendMessage {
		var all []pgproto3.BackendMessage
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	cases := []struct {
		name          string
		confirm       confirm
		answers       []pgproto3.BackendMessage
		outcome, code string
		discarded     bool
	}{
		{"closed", confirmed, join(inserted, statusRow("primary")), rewriter.OutcomeNotRun, "", false},
		{"closed, not confirmed", notConfirmed, join(inserted, statusRow("primary")), "", "08007", false},
		{"answer lost", confirmed, nil, "", "08007", true},
		{"status row lost", confirmed, inserted, "", "08007", true},
		{"refused by the server", confirmed, []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Severity: "ERROR", Code: resolver.CodeReadOnly}, ready}, "", "40001", false},
		{"exists, done", confirmed, join(exists, stored("done"), statusRow("primary")), "done", "", false},
		{"exists, not run", confirmed, join(exists, stored("not_run"), statusRow("primary")), "not_run", "", false},
		{"exists, read at a former primary", confirmed, join(exists, stored("done"), statusRow("replica")), "", "08007", false},
		{"exists, and is gone", confirmed, join(exists, inserted, statusRow("primary")), "", "08007", false},
		{"exists, not confirmed", notConfirmed, join(exists, stored("done"), statusRow("primary")), "", "08007", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, c.confirm)
			conn := &conn{answers: c.answers}
			outcome, failure := fx.concluder.CloseKey(fx.exchange(conn, write, runner.Result{}), "k")
			code := ""
			if failure != nil {
				code, outcome = failure.Code, ""
			}
			if outcome != c.outcome || code != c.code {
				t.Errorf("got %q, %q, want %q, %q", outcome, code, c.outcome, c.code)
			}
			if (conn.discarded == 1) != c.discarded || (conn.released == 1) == c.discarded {
				t.Errorf("discarded %d times, released %d times", conn.discarded, conn.released)
			}
			if n := fx.group.InFlight(); n != 0 {
				t.Errorf("%d in flight", n)
			}
		})
	}
}

// statusRow is the answer to the status query.
func statusRow(role string) []pgproto3.BackendMessage {
	d := &pgproto3.RowDescription{}
	for _, n := range []string{"server", "role", "term", "promoter", "log_term", "log_offset", "lineage", "leaving", "connections", "applied_offset"} {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(n), DataTypeOID: 25, DataTypeSize: -1})
	}
	values := &pgproto3.DataRow{}
	for _, v := range []string{"a", role, "1", "x", "1", "7", "1:0", "f", "1", "7"} {
		values.Values = append(values.Values, []byte(v))
	}
	return []pgproto3.BackendMessage{d, values, &pgproto3.CommandComplete{}, &pgproto3.ReadyForQuery{TxStatus: 'I'}}
}
