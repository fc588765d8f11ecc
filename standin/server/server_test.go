package server

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/tracker"
)

// closed stands for an answer that was sent.
var closed = func() <-chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

func testConfig(t *testing.T, name string) Config {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Config{Name: name, Dir: t.TempDir(), Log: log}
}

func start(t *testing.T, cfg Config) *Server {
	t.Helper()
	s, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func primary(t *testing.T) *Server {
	cfg := testConfig(t, "a")
	cfg.InitialPrimary = true
	return start(t, cfg)
}

func replicaOf(t *testing.T, p *Server, name string) *Server {
	cfg := testConfig(t, name)
	cfg.Follow = p.ReplicationAddr()
	return start(t, cfg)
}

func connect(t *testing.T, s *Server, options string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), "postgres://user:secret@"+s.Addr()+"/db?sslmode=disable"+options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(t.Context(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func sqlState(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return pe.Code
	}
	return ""
}

// command calls a group function and returns term, promoter and role.
func command(t *testing.T, c *pgx.Conn, sql string, args ...any) tracker.Status {
	t.Helper()
	var st tracker.Status
	var lineage string
	var term, logTerm, logOffset, applied int64
	var connections int32
	err := c.QueryRow(t.Context(), sql, args...).Scan(&st.Server, &st.Role, &term, &st.Promoter, &logTerm, &logOffset,
		&lineage, &st.Leaving, &connections, &applied)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	st.Term, st.Log = uint64(term), tracker.Position{Term: uint64(logTerm), Offset: uint64(logOffset)}
	st.Connections = int(connections)
	if st.Lineage, err = tracker.ParseLineage(lineage); err != nil {
		t.Fatal(err)
	}
	st.Applied = st.Lineage.At(uint64(applied))
	return st
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

var modes = []struct{ name, options string }{
	{"prepared", ""},
	{"simple", "&default_query_exec_mode=simple_protocol"},
	{"exec", "&default_query_exec_mode=exec"},
}

// Guards against wrong types or values of parameters and results in either
// protocol.
func TestValues(t *testing.T) {
	for _, m := range modes {
		t.Run(m.name, func(t *testing.T) {
			c := connect(t, primary(t), m.options)
			exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY, title text, open boolean, size float8, raw bytea)")
			exec(t, c, "INSERT INTO item (id, title, open, size, raw) VALUES ($1, $2, $3, $4, $5)",
				int64(7), "it's", true, 1.5, []byte{0, 1})
			var id int64
			var title string
			var open bool
			var size float64
			var raw []byte
			row := c.QueryRow(t.Context(), "SELECT id, title, open, size, raw FROM item WHERE id = $1", 7)
			if err := row.Scan(&id, &title, &open, &size, &raw); err != nil {
				t.Fatal(err)
			}
			if id != 7 || title != "it's" || !open || size != 1.5 || len(raw) != 2 {
				t.Errorf("got %d %q %v %v %v", id, title, open, size, raw)
			}
			var count, sum int64
			row = c.QueryRow(t.Context(), "SELECT count(*), coalesce(sum(id), 0) FROM item WHERE id > $1::int8", 1)
			if err := row.Scan(&count, &sum); err != nil {
				t.Fatal(err)
			}
			if count != 1 || sum != 7 {
				t.Errorf("got count %d, sum %d", count, sum)
			}
		})
	}
}

// Guards against errors that a proxy would classify wrongly.
func TestErrorCodes(t *testing.T) {
	c := connect(t, primary(t), "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY)")
	exec(t, c, "INSERT INTO item (id) VALUES (1)")
	cases := []struct{ sql, code string }{
		{"INSERT INTO item (id) VALUES (1)", "23505"},
		{"SELECT * FROM missing", "42P01"},
		{"SELECT FROM WHERE", "42601"},
		{"SELECT missing FROM item", "42703"},
		{"COPY item FROM STDIN", "0A000"},
	}
	for _, tc := range cases {
		_, err := c.Exec(t.Context(), tc.sql)
		if got := sqlState(err); got != tc.code {
			t.Errorf("%s: got %s (%v), want %s", tc.sql, got, err, tc.code)
		}
	}
}

// Guards against a failed transaction that goes on or keeps its writes.
func TestTransactions(t *testing.T) {
	s := primary(t)
	c := connect(t, s, "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY)")
	end := s.Status().Log
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO item (id) VALUES ($1)", 1)
	exec(t, c, "SAVEPOINT sp")
	exec(t, c, "INSERT INTO item (id) VALUES ($1)", 2)
	if _, err := c.Exec(t.Context(), "INSERT INTO item (id) VALUES ($1)", 2); sqlState(err) != "23505" {
		t.Fatalf("got %v", err)
	}
	if _, err := c.Exec(t.Context(), "SELECT 1"); sqlState(err) != "25P02" {
		t.Fatalf("got %v", err)
	}
	exec(t, c, "ROLLBACK TO SAVEPOINT sp")
	exec(t, c, "INSERT INTO item (id) VALUES ($1)", 3)
	exec(t, c, "COMMIT")
	records := s.Records()
	if got := records[len(records)-1]; got.Offset != end.Offset+1 || len(got.Statements) != 2 {
		t.Errorf("record %+v, want the inserts of 1 and 3 after %v", got, end)
	}
	exec(t, c, "BEGIN")
	exec(t, c, "DELETE FROM item")
	exec(t, c, "ROLLBACK")
	var n int64
	if err := c.QueryRow(t.Context(), "SELECT count(*) FROM item").Scan(&n); err != nil || n != 2 {
		t.Errorf("got %d, %v", n, err)
	}
	exec(t, c, "BEGIN READ ONLY")
	if _, err := c.Exec(t.Context(), "DELETE FROM item"); sqlState(err) != "25006" {
		t.Errorf("got %v", err)
	}
	exec(t, c, "ROLLBACK")
}

// Guards against a snapshot that lets an update based on old rows pass.
func TestSnapshotConflict(t *testing.T) {
	s := primary(t)
	c, d := connect(t, s, ""), connect(t, s, "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY)")
	exec(t, c, "BEGIN ISOLATION LEVEL SERIALIZABLE")
	exec(t, c, "SELECT * FROM item")
	exec(t, d, "INSERT INTO item (id) VALUES (1)")
	if _, err := c.Exec(t.Context(), "INSERT INTO item (id) VALUES (2)"); sqlState(err) != "40001" {
		t.Errorf("got %v", err)
	}
	exec(t, c, "ROLLBACK")
}

// Guards against a batch that keeps its first statement when the second fails.
func TestPipelineIsOneTransaction(t *testing.T) {
	c := connect(t, primary(t), "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY)")
	b := &pgx.Batch{}
	b.Queue("INSERT INTO item (id) VALUES ($1)", 1)
	b.Queue("INSERT INTO item (id) VALUES ($1)", 1)
	b.Queue("INSERT INTO item (id) VALUES ($1)", 2)
	if err := c.SendBatch(t.Context(), b).Close(); sqlState(err) != "23505" {
		t.Fatalf("got %v", err)
	}
	var n int64
	if err := c.QueryRow(t.Context(), "SELECT count(*) FROM item").Scan(&n); err != nil || n != 0 {
		t.Errorf("got %d, %v", n, err)
	}
}

// Guards against cancel requests that do not reach the statement, or end the
// connection.
func TestCancel(t *testing.T) {
	c := connect(t, primary(t), "")
	time.AfterFunc(50*time.Millisecond, func() { c.PgConn().CancelRequest(context.Background()) })
	begin := time.Now()
	_, err := c.Exec(t.Context(), "SELECT pg_sleep(10)")
	if sqlState(err) != "57014" || time.Since(begin) > 5*time.Second {
		t.Fatalf("got %v after %v", err, time.Since(begin))
	}
	exec(t, c, "SELECT 1")
}

// Guards against a limit that counts wrongly or keeps slots of closed
// connections.
func TestConnectionLimit(t *testing.T) {
	cfg := testConfig(t, "a")
	cfg.InitialPrimary, cfg.ConnectionLimit, cfg.Password = true, 1, "secret"
	s := start(t, cfg)
	c := connect(t, s, "")
	_, err := pgx.Connect(t.Context(), "postgres://user:secret@"+s.Addr()+"/db?sslmode=disable")
	if sqlState(err) != "53300" {
		t.Fatalf("got %v", err)
	}
	c.Close(t.Context())
	eventually(t, "slot free", func() bool { now, _ := s.Connections(); return now == 0 })
	_, err = pgx.Connect(t.Context(), "postgres://user:wrong@"+s.Addr()+"/db?sslmode=disable")
	if sqlState(err) != "28P01" {
		t.Fatalf("got %v", err)
	}
}

// Guards against group functions that accept what the design page refuses.
func TestFencePromoteFollow(t *testing.T) {
	for _, m := range modes {
		t.Run(m.name, func(t *testing.T) {
			a := primary(t)
			b := replicaOf(t, a, "b")
			c := connect(t, b, m.options)
			eventually(t, "replica follows", func() bool { return b.Status().Log == a.Status().Log })
			if _, err := c.Exec(t.Context(), "INSERT INTO marigold_request (request_key) VALUES ('k')"); sqlState(err) != "25006" {
				t.Errorf("write on a replica: %v", err)
			}
			fence := "SELECT * FROM marigold_group_fence($1, $2)"
			promote := "SELECT * FROM marigold_group_promote($1, $2)"
			if st := command(t, c, fence, 1, "x"); st.Promoter == "x" {
				t.Errorf("fence of an old term accepted: %+v", st)
			}
			if st := command(t, c, fence, 3, "x"); st.Term != 3 || st.Promoter != "x" || st.Role != tracker.RoleFenced {
				t.Errorf("fence: %+v", st)
			}
			if st := command(t, c, fence, 3, "y"); st.Promoter != "x" {
				t.Errorf("fence of a second promoter accepted: %+v", st)
			}
			if st := command(t, c, promote, 3, "y"); st.Role != tracker.RoleFenced {
				t.Errorf("promote by another promoter accepted: %+v", st)
			}
			st := command(t, c, promote, 3, "x")
			if st.Role != tracker.RolePrimary || st.Log != (tracker.Position{Term: 3, Offset: 2}) || st.Lineage.String() != "1:0,3:1" {
				t.Errorf("promote: %+v", st)
			}
			exec(t, c, "INSERT INTO marigold_request (request_key) VALUES ('k')")
			if st := command(t, c, "SELECT * FROM marigold_group_status()"); st.Log.Offset != 3 || st.Connections != 1 {
				t.Errorf("status: %+v", st)
			}
			follow := "SELECT * FROM marigold_group_follow($1, $2, $3)"
			if st := command(t, c, follow, 2, "a", a.ReplicationAddr()); st.Role != tracker.RolePrimary {
				t.Errorf("follow of an old term accepted: %+v", st)
			}
			command(t, connect(t, a, m.options), follow, 3, "b", b.ReplicationAddr())
			eventually(t, "old primary follows", func() bool { return a.Status().Log == b.Status().Log })
		})
	}
}

// Guards against commits that enter the log after a fence has returned.
func TestNoCommitAfterFence(t *testing.T) {
	s := primary(t)
	admin := connect(t, s, "")
	exec(t, admin, "CREATE TABLE item (id bigint PRIMARY KEY)")
	var next atomic.Int64
	stopped := make(chan string, 8)
	for range 8 {
		c := connect(t, s, "")
		go func() {
			for {
				if _, err := c.Exec(context.Background(), "INSERT INTO item (id) VALUES ($1)", next.Add(1)); err != nil {
					stopped <- sqlState(err)
					return
				}
			}
		}()
	}
	idle := connect(t, s, "")
	time.Sleep(50 * time.Millisecond)
	exec(t, idle, "BEGIN")
	exec(t, idle, "INSERT INTO item (id) VALUES (-1)")
	st := command(t, admin, "SELECT * FROM marigold_group_fence(2, 'x')")
	for range 8 {
		if code := <-stopped; code != "25006" {
			t.Errorf("writer ended with %q", code)
		}
	}
	if _, err := idle.Exec(t.Context(), "COMMIT"); sqlState(err) != "25006" {
		t.Errorf("commit of an open transaction: %v", err)
	}
	if got := s.Status().Log; got != st.Log {
		t.Errorf("log end %v, was %v when the fence returned", got, st.Log)
	}
	var n int64
	if err := admin.QueryRow(t.Context(), "SELECT count(*) FROM item").Scan(&n); err != nil || n != int64(st.Log.Offset)-2 {
		t.Errorf("%d rows, %v, log end %v", n, err, st.Log)
	}
}

// Guards against a returned primary that keeps records the group has lost, or
// that lets a client see rows change under an open connection.
func TestTruncationOfReturnedPrimary(t *testing.T) {
	a := primary(t)
	b := replicaOf(t, a, "b")
	ca := connect(t, a, "")
	exec(t, ca, "CREATE TABLE item (id bigint PRIMARY KEY)")
	eventually(t, "replica follows", func() bool { return b.Status().Log == a.Status().Log })
	b.SetFrozen(true)
	exec(t, ca, "INSERT INTO item (id) VALUES (1)")
	if st, err := b.node.Fence(2, "x"); err != nil || st.Log.Offset != 2 {
		t.Fatalf("%+v, %v", st, err)
	}
	if _, err := b.node.Promote(2, "x"); err != nil {
		t.Fatal(err)
	}
	b.SetFrozen(false)
	exec(t, connect(t, b, ""), "INSERT INTO item (id) VALUES (2)")
	command(t, ca, "SELECT * FROM marigold_group_follow(2, 'b', '"+b.ReplicationAddr()+"')")
	eventually(t, "old primary truncated", func() bool { return a.Status().Log == b.Status().Log })
	if _, err := ca.Exec(t.Context(), "SELECT 1"); err == nil || sqlState(err) != "" {
		t.Errorf("connection survived truncation: %v", err)
	}
	var id int64
	if err := connect(t, a, "").QueryRow(t.Context(), "SELECT id FROM item").Scan(&id); err != nil || id != 2 {
		t.Errorf("got %d, %v", id, err)
	}
	if got := a.Status().Lineage.String(); got != "1:0,2:2" {
		t.Errorf("lineage %s", got)
	}
}

// Guards against a restarted server that forgets its log or term, or leads
// again by itself.
func TestRestart(t *testing.T) {
	cfg := testConfig(t, "a")
	cfg.InitialPrimary = true
	s := start(t, cfg)
	c := connect(t, s, "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY, note text)")
	exec(t, c, "INSERT INTO item (id, note) VALUES ($1, $2)", 1, "x")
	before := s.Status()
	s.Close()
	s = start(t, cfg)
	after := s.Status()
	if after.Role != tracker.RoleFenced || after.Term != before.Term || after.Log != before.Log {
		t.Errorf("before %+v, after %+v", before, after)
	}
	var note string
	if err := connect(t, s, "").QueryRow(t.Context(), "SELECT note FROM item WHERE id = $1", 1).Scan(&note); err != nil || note != "x" {
		t.Errorf("got %q, %v", note, err)
	}
}

// Guards against a replica that shows records before their age, against a
// status row that counts them as applied, and against one that does not count
// them as stored.
func TestApplyDelay(t *testing.T) {
	a := primary(t)
	b := replicaOf(t, a, "b")
	eventually(t, "replica follows", func() bool { return b.Status().Log == a.Status().Log })
	b.SetApplyDelay(time.Hour)
	c := connect(t, a, "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY)")
	eventually(t, "replica stores", func() bool { return b.Status().Log == a.Status().Log })
	time.Sleep(100 * time.Millisecond)
	if got := b.Status().Applied; got != (tracker.Position{Term: 1, Offset: 1}) {
		t.Errorf("replica shows %v", got)
	}
	cb := connect(t, b, "")
	if _, err := cb.Exec(t.Context(), "SELECT id FROM item"); sqlState(err) != "42P01" {
		t.Errorf("read of a record that is not applied: %v", err)
	}
	b.SetApplyDelay(0)
	eventually(t, "replica catches up", func() bool { return b.Status().Applied == a.Status().Log })
	exec(t, cb, "SELECT id FROM item")
}

// Guards against a promotion that accepts writes before all stored records are
// applied, and against a restart that forgets them or applies them early.
func TestPromoteAppliesStored(t *testing.T) {
	a := primary(t)
	cfg := testConfig(t, "b")
	cfg.Follow, cfg.ApplyDelay = a.ReplicationAddr(), time.Hour
	b := start(t, cfg)
	c := connect(t, a, "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY)")
	for i := range 600 {
		exec(t, c, "INSERT INTO item (id) VALUES ($1)", i)
	}
	eventually(t, "replica stores", func() bool { return b.Status().Log == a.Status().Log })
	b.Close()
	a.Close()
	b = start(t, cfg)
	if st := b.Status(); st.Log.Offset != 602 || st.Applied.Offset != 1 {
		t.Fatalf("after the restart: %+v", st)
	}
	cb := connect(t, b, "")
	command(t, cb, "SELECT * FROM marigold_group_fence(2, 'x')")
	st := command(t, cb, "SELECT * FROM marigold_group_promote(2, 'x')")
	if st.Role != tracker.RolePrimary || st.Log != (tracker.Position{Term: 2, Offset: 603}) || st.Applied != st.Log {
		t.Errorf("promote: %+v", st)
	}
	if _, err := cb.Exec(t.Context(), "INSERT INTO item (id) VALUES (599)"); sqlState(err) != "23505" {
		t.Errorf("write over a stored row: %v", err)
	}
}

// Guards against a truncation of records that are not applied that leaves them
// in the log, keeps client connections or rebuilds rows without need.
func TestTruncationOfStored(t *testing.T) {
	a := primary(t)
	b, c := replicaOf(t, a, "b"), replicaOf(t, a, "c")
	eventually(t, "replicas follow", func() bool { return b.Status().Applied == a.Status().Log && c.Status().Applied == a.Status().Log })
	b.SetApplyDelay(time.Hour)
	c.SetFrozen(true)
	time.Sleep(50 * time.Millisecond)
	exec(t, connect(t, a, ""), "CREATE TABLE item (id bigint PRIMARY KEY)")
	eventually(t, "b stores", func() bool { return b.Status().Log.Offset == 2 })
	cb := connect(t, b, "")
	rows := b.node.Schema()
	if st, err := c.node.Fence(2, "x"); err != nil || st.Log.Offset != 1 {
		t.Fatalf("%+v, %v", st, err)
	}
	if _, err := c.node.Promote(2, "x"); err != nil {
		t.Fatal(err)
	}
	c.SetFrozen(false)
	command(t, cb, "SELECT * FROM marigold_group_follow(2, 'c', '"+c.ReplicationAddr()+"')")
	eventually(t, "b truncated", func() bool { return b.Status().Log == c.Status().Log })
	if _, err := cb.Exec(t.Context(), "SELECT 1"); err == nil || sqlState(err) != "" {
		t.Errorf("connection survived truncation: %v", err)
	}
	if st := b.Status(); st.Applied.Offset != 1 || st.Lineage.String() != "1:0,2:1" || b.node.Schema() != rows {
		t.Errorf("%+v, rows rebuilt: %v", st, b.node.Schema() != rows)
	}
	b.SetApplyDelay(0)
	eventually(t, "b applies", func() bool { return b.Status().Applied == c.Status().Log })
}

// Guards against a stop that looks like a cancel request.
func TestCloseEndsStatements(t *testing.T) {
	for range 20 {
		s := primary(t)
		c := connect(t, s, "")
		time.AfterFunc(10*time.Millisecond, s.Close)
		_, err := c.Exec(t.Context(), "SELECT pg_sleep(10)")
		// The connection may close before the answer is sent.
		if code := sqlState(err); err == nil || code != "57P01" && code != "" {
			t.Fatalf("got %v", err)
		}
	}
}

// Guards against a lost answer whose commit did not take effect.
func TestLoseAnswer(t *testing.T) {
	s := primary(t)
	c, d := connect(t, s, ""), connect(t, s, "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY)")
	s.LoseAnswers(1)
	if _, err := c.Exec(t.Context(), "INSERT INTO item (id) VALUES (1)"); err == nil || sqlState(err) != "" {
		t.Errorf("got %v", err)
	}
	exec(t, d, "INSERT INTO item (id) VALUES (2)")
	var n int64
	if err := d.QueryRow(t.Context(), "SELECT count(*) FROM item").Scan(&n); err != nil || n != 2 {
		t.Errorf("got %d, %v", n, err)
	}
}

// Guards against a primary of an old term that goes on after a follower told
// it of a newer one.
func TestPrimaryLearnsOfHigherTerm(t *testing.T) {
	a := primary(t)
	b := replicaOf(t, a, "b")
	if _, err := b.node.Fence(4, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := b.node.Follow(4, "a", a.ReplicationAddr(), closed); err != nil {
		t.Fatal(err)
	}
	eventually(t, "old primary fenced", func() bool {
		st := a.Status()
		return st.Term == 4 && st.Role == tracker.RoleFenced
	})
}

// Guards against a frozen server that answers.
func TestFreeze(t *testing.T) {
	s := primary(t)
	c := connect(t, s, "")
	s.SetFrozen(true)
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "SELECT 1")
		done <- err
	}()
	select {
	case err := <-done:
		t.Errorf("answered: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	s.SetFrozen(false)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a listener that a stopped server leaves behind.
func TestCloseReleasesAddress(t *testing.T) {
	s := primary(t)
	addr := s.Addr()
	s.Close()
	if _, err := net.DialTimeout("tcp", addr, time.Second); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("got %v", err)
	}
}
