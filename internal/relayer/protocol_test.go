package relayer_test

import (
	"context"
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

	"marigoldhub.example/hub/internal/confirmer"
	"marigoldhub.example/hub/internal/tracker"
)

// raw is a caller that speaks the protocol message by message.
type raw struct {
	t    testing.TB
	conn net.Conn
	fe   *pgproto3.Frontend
}

func (fx *fixture) raw(t testing.TB) *raw {
	c, err := pgconn.Connect(bg, fx.url())
	if err != nil {
		t.Fatal(err)
	}
	hijacked, err := c.Hijack()
	if err != nil {
		t.Fatal(err)
	}
	conn := hijacked.Conn
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	// pgconn may have begun to read ahead in the background; its frontend has those bytes.
	return &raw{t: t, conn: conn, fe: hijacked.Frontend}
}

func (r *raw) send(msgs ...pgproto3.FrontendMessage) {
	r.t.Helper()
	for _, m := range msgs {
		r.fe.Send(m)
	}
	if err := r.fe.Flush(); err != nil {
		r.t.Error(err)
	}
}

// read returns an abbreviation of the next messages, up to the given number of
// ReadyForQuery or up to the end of the connection.
func (r *raw) read(ready int) string {
	var b strings.Builder
	for ready > 0 {
		msg, err := r.fe.Receive()
		if err != nil {
			b.WriteString("end")
			break
		}
		switch m := msg.(type) {
		case *pgproto3.ParseComplete:
			b.WriteString("1 ")
		case *pgproto3.BindComplete:
			b.WriteString("2 ")
		case *pgproto3.CloseComplete:
			b.WriteString("3 ")
		case *pgproto3.RowDescription:
			b.WriteString("T ")
		case *pgproto3.NoData:
			b.WriteString("n ")
		case *pgproto3.DataRow:
			fmt.Fprintf(&b, "%s ", m.Values[0])
		case *pgproto3.CommandComplete:
			fmt.Fprintf(&b, "[%s] ", m.CommandTag)
		case *pgproto3.ErrorResponse:
			fmt.Fprintf(&b, "%s ", m.Code)
		case *pgproto3.ReadyForQuery:
			fmt.Fprintf(&b, "Z%c ", m.TxStatus)
			ready--
		}
	}
	return strings.TrimSpace(b.String())
}

func extended(sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}}
}

// Guards against answers in pipelines that are lost, reordered or mixed up, and
// against server-side statement names that reach the caller.
func TestPipelines(t *testing.T) {
	insert := func(k string) string { return "insert into kv values ('" + k + "', '1')" }
	cases := []struct {
		name string
		msgs []pgproto3.FrontendMessage
		want string
	}{
		{
			"several Syncs with an error between", concat(
				extended(insert("a")), syncMsg, extended("select 1/0"), extended(insert("b")), syncMsg, extended(insert("c")), syncMsg),
			"1 2 [INSERT 0 1] ZI 1 2 22012 ZI 1 2 [INSERT 0 1] ZI",
		},
		{
			"transaction in one batch", concat(
				extended("begin"), extended(insert("d")), extended("commit"), syncMsg),
			"1 2 [BEGIN] 1 2 [INSERT 0 1] 1 2 [COMMIT] ZI",
		},
		{
			"named statement, closed and prepared again", concat(
				msgs(&pgproto3.Parse{Name: "s", Query: insert("e")}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}), syncMsg,
				msgs(&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Parse{Name: "s", Query: insert("f")},
					&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}), syncMsg,
				msgs(&pgproto3.Parse{Name: "t", Query: insert("f")}), syncMsg),
			"1 n ZI 3 1 2 [INSERT 0 1] ZI 1 ZI",
		},
		{
			"statement prepared twice", concat(
				msgs(&pgproto3.Parse{Name: "s", Query: insert("a")}), syncMsg, msgs(&pgproto3.Parse{Name: "s", Query: insert("b")}), syncMsg),
			"1 ZI 42P05 ZI",
		},
		{"unknown statement", concat(msgs(&pgproto3.Bind{PreparedStatement: "nope"}, &pgproto3.Execute{}), syncMsg), "26000 ZI"},
		{
			"unnamed statement in a later batch", concat(
				msgs(&pgproto3.Parse{Query: insert("g")}), syncMsg, msgs(&pgproto3.Bind{}, &pgproto3.Execute{}), syncMsg),
			"1 ZI 2 [INSERT 0 1] ZI",
		},
		{"Sync alone", concat(syncMsg, syncMsg), "ZI ZI"},
		{
			"commit hidden behind an error", concat(
				msgs(&pgproto3.Query{String: "begin; " + insert("h") + "; commit; select 1/0"})),
			"[BEGIN] [INSERT 0 1] [COMMIT] 22012 ZI",
		},
		{"commit before another transaction", concat(
			msgs(&pgproto3.Query{String: "begin; commit; begin"})), "0A000 ZI"},
		{"function call", concat(msgs(&pgproto3.FunctionCall{Function: 1}), syncMsg), "0A000 ZI ZI"},
		{
			"setting of the proxy in the extended protocol", concat(
				extended("set marigold.request_key = 'k'"), extended("show marigold.request_key"), syncMsg),
			"1 2 [SET] 1 2 k [SHOW] ZI",
		},
		{
			"keyed transaction in one query", concat(
				msgs(&pgproto3.Query{String: "begin; set local marigold.request_key = 'p'; " + insert("i") + "; commit"})),
			"[BEGIN] [SET] [INSERT 0 1] [COMMIT] ZI",
		},
		{"strict read", concat(extended("select w from other"), syncMsg), "1 2 [SELECT 0] ZI"},
		{
			"many statements before Sync", concat(repeat(extended(insert("j")+strings.Repeat(" ", 4000)), 50), syncMsg),
			strings.TrimSpace(strings.Repeat("1 2 [INSERT 0 1] ", 50)) + " ZI",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			r := fx.raw(t)
			go r.send(c.msgs...)
			if got := r.read(strings.Count(c.want, "Z")); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
			if seen := fx.a.count("marigold_request (") + fx.a.count("commit"); c.name == "commit hidden behind an error" && seen == 0 {
				t.Error("commit was not sent")
			}
		})
	}
}

var syncMsg = msgs(&pgproto3.Sync{})

func msgs(m ...pgproto3.FrontendMessage) []pgproto3.FrontendMessage { return m }

func concat(parts ...[]pgproto3.FrontendMessage) []pgproto3.FrontendMessage {
	var all []pgproto3.FrontendMessage
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

func repeat(m []pgproto3.FrontendMessage, n int) []pgproto3.FrontendMessage {
	var all []pgproto3.FrontendMessage
	for range n {
		all = append(all, m...)
	}
	return all
}

// Guards against Flush being answered late, and against the commit at Sync
// being acknowledged without a confirmation.
func TestFlush(t *testing.T) {
	fx := newFixture(t)
	r := fx.raw(t)
	r.send(concat(extended("insert into kv values ('x', '1')"), msgs(&pgproto3.Flush{}))...)
	for _, want := range []string{"*pgproto3.ParseComplete", "*pgproto3.BindComplete", "*pgproto3.CommandComplete"} {
		msg, err := r.fe.Receive()
		if err != nil || fmt.Sprintf("%T", msg) != want {
			t.Fatalf("got %T, %v, want %s", msg, err, want)
		}
	}
	if fx.st.row("x") != "" {
		t.Error("committed before Sync")
	}
	fx.confirm.set(func(confirmer.Request) (confirmer.Result, error) { return confirmer.Result{}, context.DeadlineExceeded })
	r.send(syncMsg...)
	if got := r.read(1); got != "08007 ZI" {
		t.Errorf("got %s, want 08007", got)
	}
}

// Guards against malformed, unknown and oversized messages that affect other
// connections than their own.
func TestMalformed(t *testing.T) {
	fx := newFixture(t, func(fx *fixture) { fx.cfg.MessageLimit = 1 << 16 })
	other := fx.connect()
	for name, c := range map[string]struct{ bytes, want string }{
		"unknown type":  {"!\x00\x00\x00\x04", "08P01 end"},
		"short length":  {"Q\x00\x00\x00\x01", "08P01 end"},
		"no terminator": {"Q\x00\x00\x00\x05x", "08P01 end"},
		"oversized":     {"Q\x7f\xff\xff\xff", "54000 end"},
		"truncated":     {"Q\x00\x00\x00\x10", "end"},
		"short bind":    {"B\x00\x00\x00\x06\x00\x00", "08P01 end"},
		"password":      {"p\x00\x00\x00\x05\x00", "08P01 end"},
	} {
		t.Run(name, func(t *testing.T) {
			r := fx.raw(t)
			if _, err := io.WriteString(r.conn, c.bytes); err != nil {
				t.Fatal(err)
			}
			if name == "truncated" {
				_ = r.conn.(*net.TCPConn).CloseWrite()
			}
			if got := r.read(1); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
	exec(t, other, "insert into kv values ('x', '1')")
}

// Guards against a caller that waits for a replaced primary which does not
// answer, and against the late answer of this server reaching any caller.
func TestLateAnswer(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	exec(t, c, "insert into kv values ('first', '1')")
	block := make(chan struct{})
	arrived := make(chan struct{})
	arrive := sync.OnceFunc(func() { close(arrived) })
	fx.a.setHook(func(when, sql string) bool {
		if when == "before" && !strings.Contains(sql, "status") {
			if strings.Contains(sql, "'x'") {
				arrive()
			}
			<-block
		}
		return true
	})
	d := fx.connect()
	// The primary is replaced once the write has reached it.
	go func() {
		<-arrived
		fx.b.setRole(tracker.RolePrimary)
		fx.views.set(func(v *tracker.View) { v.Term, v.Primary, v.Replicas = 2, "b", nil })
	}()
	read := make(chan error, 1)
	go func() {
		_, err := d.Exec(bg, "select w from other")
		read <- err
	}()
	if _, err := c.Exec(bg, "insert into kv values ('x', '1')"); code(err) != "08007" {
		t.Errorf("write: got %v, want 08007", err)
	}
	if err := <-read; err != nil {
		t.Errorf("read: %v", err)
	}
	close(block)
	exec(t, c, "insert into kv values ('y', '1')")
	if fx.b.count("'y'") != 1 {
		t.Error("the next write did not go to the new primary")
	}
}

// Guards against a strict read that is answered by a former primary, which
// lacks the latest writes.
func TestStrictReadOnFormerPrimary(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	for _, sql := range []string{"select w from other", "select unknown_function()", "begin; select w from other; commit"} {
		fx.a.setRole(tracker.RoleReplica)
		_, err := c.Exec(bg, sql)
		if err == nil {
			t.Errorf("%s: answered", sql)
		}
	}
}

// Guards against an answer that breaks off in the middle being taken for a
// complete one.
func TestServerClosesMidAnswer(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	fx.a.setHook(func(when, sql string) bool { return when != "before" || !strings.Contains(sql, "'second'") })
	r := fx.raw(t)
	r.send(&pgproto3.Query{String: "insert into kv values ('first', '1'); insert into kv values ('second', '1')"})
	if got := r.read(1); got != "08007 ZI" {
		t.Errorf("got %s, want 08007", got)
	}
	fx.a.setHook(nil)
	exec(t, c, "insert into kv values ('y', '1')")
}

// Guards against a caller that does not see its own writes after it connects
// again with its session token, and against forged tokens.
func TestToken(t *testing.T) {
	fx := newFixture(t)
	c := fx.connect()
	exec(t, c, "insert into kv values ('x', '1')")
	token := c.PgConn().ParameterStatus("marigold.session_token")
	fx.refreshReplica()
	with := func(token string) func(*pgx.ConnConfig) {
		return func(cfg *pgx.ConnConfig) { cfg.RuntimeParams["marigold.session_token"] = token }
	}
	before := len(fx.confirm.asked)
	if got := get(t, fx.connect(with(token)), "x"); got != "1" {
		t.Errorf("read %q", got)
	}
	if n := len(fx.confirm.asked) - before; n != 0 {
		t.Errorf("%d confirmations although the token carries the minimum position", n)
	}
	cfg, err := pgx.ParseConfig(fx.url())
	if err != nil {
		t.Fatal(err)
	}
	with(token[:len(token)-2] + "AA")(cfg)
	if _, err := pgx.ConnectConfig(bg, cfg); code(err) != "28000" {
		t.Errorf("changed token: got %v, want 28000", err)
	}
}

// Guards against a drain that ends sessions inside a transaction or leaves idle
// sessions open.
func TestDrain(t *testing.T) {
	fx := newFixture(t)
	idle, busy := fx.connect(), fx.connect()
	exec(t, busy, "begin")
	exec(t, busy, "insert into kv values ('x', '1')")
	ctx, cancel := context.WithTimeout(bg, 100*time.Millisecond)
	defer cancel()
	if n := fx.gate.Drain(ctx); n != 1 {
		t.Errorf("%d sessions left, want 1", n)
	}
	if _, err := idle.Exec(bg, "insert into kv values ('y', '1')"); code(err) != "57P01" {
		t.Errorf("idle session: got %v, want 57P01", err)
	}
	exec(t, busy, "commit")
	if fx.st.row("x") != "1" {
		t.Error("the drain ended a session inside a transaction")
	}
	if _, err := pgconn.Connect(bg, fx.url()); err == nil {
		t.Error("new connection accepted during the drain")
	}
}
