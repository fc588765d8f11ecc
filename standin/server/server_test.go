package server

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
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
