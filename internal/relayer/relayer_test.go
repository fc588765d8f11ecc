package relayer_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/tracker"
)

var bg = context.Background()

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(bg, sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func get(t *testing.T, c *pgx.Conn, key string) string {
	t.Helper()
	var v string
	if err := c.QueryRow(bg, "select v from kv where k = $1", key).Scan(&v); err != nil {
		t.Fatalf("read of %s: %v", key, err)
	}
	return v
}

func (fx *fixture) refreshReplica() {
	fx.views.set(func(v *tracker.View) {
		v.Replicas = []tracker.ReplicaView{{Server: "b", Log: fx.st.end(), FreshAt: time.Now(), Reachable: true}}
	})
}

// Guards against a driver's default mode (named prepared statements, Describe,
// extended protocol) failing on pooled connections, and against a read that
// misses the session's own write.
func TestDriver(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	for _, k := range []string{"x", "y", "x"} {
		exec(t, c, "insert into kv values ($1, $2)", k, "1")
		if got := get(t, c, k); got != "1" {
			t.Errorf("read %q after own write", got)
		}
	}
	if c.PgConn().ParameterStatus("marigold.session_token") == "" {
		t.Error("no session token after a commit")
	}
	if n := fx.b.count("select v"); n != 0 {
		t.Errorf("%d reads on a replica that, by its view, is below the minimum position", n)
	}
	fx.refreshReplica()
	get(t, c, "x")
	if n := fx.b.count("select v"); n == 0 {
		t.Error("no read on the replica that has reached the minimum position")
	}
}

// Guards against the use of a replica's answer when the replica has stored the
// log up to the session's minimum position but not applied it.
func TestReplicaAppliesLate(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	exec(t, c, "insert into kv values ('x', 'new')")
	fx.b.appliesLate.Store(true)
	fx.refreshReplica()
	if got := get(t, c, "x"); got != "new" {
		t.Errorf("read %q", got)
	}
	if fx.b.count("select v") == 0 || fx.a.count("select v") == 0 {
		t.Errorf("%d reads on the replica, %d on the primary", fx.b.count("select v"), fx.a.count("select v"))
	}
}

// Guards against the use of a replica's answer when its status row is below the
// session's minimum position.
func TestReplicaBehindItsView(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	exec(t, c, "insert into kv values ('x', 'new')")
	old := newStore()
	old.rows["x"] = "old"
	fx.b.st = old
	fx.refreshReplica() // by the view, b has applied the write
	if got := get(t, c, "x"); got != "new" {
		t.Errorf("read %q", got)
	}
	if fx.b.count("select v") == 0 {
		t.Error("the replica was not asked")
	}
}

// Guards against statements of two callers' transactions being mixed up, and
// against an uncommitted write being visible, when there are fewer connections
// than callers.
func TestTransactionsInterleaved(t *testing.T) {
	fx := newFixture(t)
	c, d := fx.connect(), fx.connect()
	exec(t, c, "begin")
	exec(t, c, "insert into kv values ('c', '1')")
	exec(t, d, "begin")
	exec(t, d, "insert into kv values ('d', '1')")
	exec(t, c, "rollback")
	exec(t, d, "commit")
	if fx.st.row("c") != "" || fx.st.row("d") != "1" {
		t.Errorf("c = %q, d = %q", fx.st.row("c"), fx.st.row("d"))
	}
}

// Guards against a commit whose answer is lost being reported as done or as not
// run.
func TestAnswerLostAfterCommit(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	fx.a.setHook(func(when, sql string) bool { return when != "after" || !strings.HasPrefix(sql, "insert") })
	_, err := c.Exec(bg, "insert into kv values ('x', '1')")
	if code(err) != "08007" {
		t.Errorf("got %v, want 08007", err)
	}
	if n := fx.a.count("insert"); n != 1 {
		t.Errorf("insert was sent %d times", n)
	}
}

// Guards against a transaction that lost its connection being continued on
// another one.
func TestConnectionLostInTransaction(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	exec(t, c, "begin")
	exec(t, c, "insert into kv values ('x', '1')")
	fx.a.setHook(func(when, sql string) bool { return when != "before" || !strings.Contains(sql, "'y'") })
	if _, err := c.Exec(bg, "insert into kv values ('y', '1')"); code(err) != "40001" {
		t.Errorf("got %v, want 40001", err)
	}
	fx.a.setHook(nil)
	if _, err := c.Exec(bg, "insert into kv values ('z', '1')"); code(err) != "25P02" {
		t.Errorf("got %v, want 25P02", err)
	}
	exec(t, c, "rollback")
	exec(t, c, "insert into kv values ('w', '1')")
	if fx.st.row("x")+fx.st.row("y")+fx.st.row("z") != "" {
		t.Error("a part of the lost transaction took effect")
	}
}

// Guards against an error for a strict read whose connection is lost before
// anything was passed on: it must be retried.
func TestReadRetried(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	failed := false
	fx.a.setHook(func(when, sql string) bool {
		if when == "after" && strings.HasPrefix(sql, "select w") && !failed {
			failed = true
			return false
		}
		return true
	})
	exec(t, c, "select w from other")
	if !failed {
		t.Error("no connection was lost")
	}
}

// Guards against wrong outcomes after the primary was replaced: whether a write
// is done, not run or unknown depends on where the new term's log starts.
func TestPrimaryReplaced(t *testing.T) {
	superseded := func(cut uint64) func(confirmer.Request) (confirmer.Result, error) {
		return func(req confirmer.Request) (confirmer.Result, error) {
			if req.Position.IsZero() {
				return confirmer.Result{}, context.DeadlineExceeded
			}
			return confirmer.Result{
				Outcome: confirmer.Superseded, Position: tracker.Position{Term: 2, Offset: cut + 1},
				Lineage: tracker.Lineage{{Term: 1}, {Term: 2, Start: cut}},
			}, nil
		}
	}
	cases := []struct {
		name string
		cut  uint64
		sql  string
		want string
		runs int
	}{
		{"write survives", 10, "insert into kv values ('x', '1')", "<nil>", 1},
		{"write is cut off", 2, "insert into kv values ('x', '1')", "40001", 4},
		{"transaction is cut off", 2, "begin; insert into kv values ('x', '1'); commit", "40001", 1},
		{"read", 10, "select w from other", "40001", 4},
		{"zero rows prove no write", 10, "update kv set v = 1", "08007", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			conn := fx.connect()
			exec(t, conn, "insert into kv values ('first', '1')") // the instance learns position 1/2
			fx.confirm.set(superseded(c.cut))
			_, err := conn.Exec(bg, c.sql)
			if code(err) != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
			word := strings.TrimPrefix(c.sql, "begin; ")[:6]
			if n := fx.a.count(word) - 1; word == "insert" && n != c.runs {
				t.Errorf("sent %d times, want %d", n, c.runs)
			}
		})
	}
}

// Guards against a commit being acknowledged without a confirmation.
func TestUnconfirmedCommit(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	fx.confirm.set(func(confirmer.Request) (confirmer.Result, error) {
		return confirmer.Result{}, context.DeadlineExceeded
	})
	if _, err := c.Exec(bg, "insert into kv values ('x', '1')"); code(err) != "08007" {
		t.Errorf("got %v, want 08007", err)
	}
	if _, err := c.Exec(bg, "select v from other"); code(err) != "40001" {
		t.Errorf("strict read: got %v, want 40001", err)
	}
}

// Guards against a write being retried without proof that it did not run, and
// against a fenced server's refusal reaching the caller.
func TestWriteRetriedOnProof(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	fx.a.setRole(tracker.RoleFenced)
	fx.b.setRole(tracker.RolePrimary)
	go func() {
		time.Sleep(20 * time.Millisecond)
		fx.views.set(func(v *tracker.View) { v.Term, v.Primary, v.Replicas = 2, "b", nil })
	}()
	exec(t, c, "insert into kv values ('x', '1')")
	if fx.b.count("insert") != 1 || fx.st.row("x") != "1" {
		t.Error("the write did not reach the new primary")
	}
}

// Guards against a procedure that failed after it may have committed a part of
// its work being retried or reported as not run.
func TestProcedureIsNotRepeated(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	const call = "call insert_rows()"
	if _, err := c.Exec(bg, call); err != nil {
		t.Fatal(err)
	}
	fx.a.setRole(tracker.RoleFenced)
	if _, err := c.Exec(bg, call); code(err) != "08007" {
		t.Errorf("got %v, want 08007", err)
	}
	if n := fx.a.count(call); n != 2 {
		t.Errorf("sent %d times, want 2", n)
	}
}

// Guards against new work being refused at once while there is no primary, and
// against a wait above its limit during a planned change of primary.
func TestWorkWaitsForPrimary(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	fx.views.set(func(v *tracker.View) { v.Primary, v.Term = "", 0 })
	go func() {
		time.Sleep(50 * time.Millisecond)
		fx.views.set(func(v *tracker.View) { v.Primary, v.Term = "a", 1 })
	}()
	exec(t, c, "insert into kv values ('x', '1')")
	fx.views.set(func(v *tracker.View) { v.Draining = true })
	start := time.Now()
	exec(t, c, "insert into kv values ('y', '1')")
	if d := time.Since(start); d < 150*time.Millisecond || d > time.Second {
		t.Errorf("waited for %v, want about 200 ms", d)
	}
}

// Guards against waiting on for a connection to a primary that has been
// replaced.
func TestWaitFollowsPrimary(t *testing.T) {
	fx := newFixture(t)
	for range cap(fx.pool.slots["a"]) {
		exec(t, fx.connect(), "begin")
	}
	time.AfterFunc(200*time.Millisecond, func() {
		fx.b.setRole(tracker.RolePrimary)
		fx.views.set(func(v *tracker.View) { v.Term, v.Primary, v.Replicas = 2, "b", nil })
	})
	start := time.Now()
	exec(t, fx.connect(), "insert into kv values ('x', '1')")
	if d := time.Since(start); d > time.Second {
		t.Errorf("waited for %v", d)
	}
	if fx.b.count("insert") != 1 {
		t.Error("the write did not go to the new primary")
	}
}

// Guards against a cancel request that does not reach the statement, or that
// breaks the session.
func TestCancel(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	time.AfterFunc(50*time.Millisecond, func() { _ = c.PgConn().CancelRequest(bg) })
	start := time.Now()
	if _, err := c.Exec(bg, "select pg_sleep(10)"); code(err) != "57014" {
		t.Errorf("got %v, want 57014", err)
	}
	if time.Since(start) > 5*time.Second {
		t.Error("the cancel request came late")
	}
	exec(t, c, "insert into kv values ('x', '1')")
}

// Guards against a connection that stays in use by the statement of a caller
// that disconnected, with or without a Terminate message.
func TestDisconnectedCaller(t *testing.T) {
	for _, last := range []string{"", "X\x00\x00\x00\x04"} {
		testDisconnect(t, last)
	}
}

func testDisconnect(t *testing.T, last string) {
	fx := newFixture(t)
	c := fx.connect()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = c.Exec(bg, "select pg_sleep(10)")
	}()
	for fx.a.count("pg_sleep") == 0 {
		time.Sleep(time.Millisecond)
	}
	_, _ = io.WriteString(c.PgConn().Conn(), last)
	_ = c.PgConn().Conn().Close()
	<-ended
	deadline := time.Now().Add(3 * time.Second)
	for len(fx.pool.slots["a"]) > 0 {
		if time.Now().After(deadline) {
			t.Fatal("connection still in use")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against request keys that let a request run twice or hide its
// outcome.
func TestRequestKeys(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	run := func(key, row string) error {
		exec(t, c, "begin")
		if _, err := c.Exec(bg, "set local marigold.request_key = '"+key+"'"); err != nil {
			_, _ = c.Exec(bg, "rollback")
			return err
		}
		exec(t, c, "insert into kv values ('"+row+"', '1')")
		_, err := c.Exec(bg, "commit")
		return err
	}
	outcome := func(key string) string {
		exec(t, c, "set marigold.request_key = '"+key+"'")
		var v string
		if err := c.QueryRow(bg, "show marigold.request_outcome").Scan(&v); err != nil {
			t.Fatal(err)
		}
		return v
	}
	if err := run("k1", "x"); err != nil {
		t.Fatal(err)
	}
	if err := run("k1", "y"); code(err) != "MG001" {
		t.Errorf("repeat: got %v, want MG001", err)
	}
	if got := outcome("k1"); got != "done" {
		t.Errorf("outcome = %q, want done", got)
	}
	if got := outcome("k2"); got != "not_run" {
		t.Errorf("outcome = %q, want not_run", got)
	}
	if err := run("k2", "z"); code(err) != "40001" {
		t.Errorf("request with a closed key: got %v, want 40001", err)
	}
	if _, err := c.Exec(bg, "set local marigold.request_key = 'k3'"); code(err) != "25P01" {
		t.Errorf("outside a transaction: got %v, want 25P01", err)
	}
	if fx.st.row("y")+fx.st.row("z") != "" {
		t.Error("a repeated request took effect")
	}
}

// Guards against session state leaking between callers, and against a caller
// that pins more connections than it may.
func TestPinning(t *testing.T) {
	fx := newFixture(t)
	c, d := fx.connect(), fx.connect()
	exec(t, c, "set application_name = 'app'")
	exec(t, d, "set client_encoding = 'UTF8'")
	if fx.a.count("set ") != 0 {
		t.Error("a non-pinning setting reached the server")
	}
	exec(t, c, "set search_path = x")
	if _, err := d.Exec(bg, "set search_path = y"); code(err) != "53300" {
		t.Errorf("got %v, want 53300", err)
	}
	exec(t, d, "insert into kv values ('x', '1')")
	exec(t, c, "discard all")
	exec(t, d, "set search_path = y")
	if n := fx.pool.discarded; n != 1 {
		t.Errorf("%d connections closed, want the pinned one", n)
	}
	exec(t, d, "discard all")
	e := fx.connect(func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["search_path"] = "it's" })
	exec(t, e, "insert into kv values ('x', '1')")
	if fx.a.count("set_config('search_path', 'it''s', false)") != 1 {
		t.Error("startup setting did not reach the server")
	}
	if _, err := c.Exec(bg, "listen x"); code(err) != "53300" {
		t.Errorf("got %v, want 53300", err)
	}
}

// Guards against COPY and two-phase commit reaching a server.
func TestRefused(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	for _, sql := range []string{"copy kv from stdin", "prepare transaction 'x'", "commit and chain"} {
		if _, err := c.Exec(bg, sql); code(err) != "0A000" {
			t.Errorf("%s: got %v, want 0A000", sql, err)
		}
	}
	exec(t, c, "insert into kv values ('x', '1')")
}

// Guards against an answer above ResponseBufferLimit being truncated or
// reordered.
func TestBigAnswer(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	for range 3 {
		rows, err := c.Query(bg, "select big from other")
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for rows.Next() {
			n++
		}
		if rows.Err() != nil || n != 4000 {
			t.Errorf("%d rows, %v", n, rows.Err())
		}
	}
}
