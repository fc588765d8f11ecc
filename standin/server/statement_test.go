package server

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"
)

// Guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rowText runs a statement by the simple protocol and returns its rows, with
// values separated by "|" and rows by ";".
func rowText(t *testing.T, c *pgx.Conn, sql string) string {
	t.Helper()
	results, err := c.PgConn().Exec(t.Context(), sql).ReadAll()
	if err != nil {
		return "error " + sqlState(err)
	}
	var lines []string
	for _, res := range results {
		for _, row := range res.Rows {
			var values []string
			for _, v := range row {
				values = append(values, string(v))
			}
			lines = append(lines, strings.Join(values, "|"))
		}
	}
	return strings.Join(lines, ";")
}

// Guards against statements that clients and the proxy send and that the
// translation or the session would get wrong.
func TestStatements(t *testing.T) {
	c := connect(t, primary(t), "")
	cases := []struct{ sql, want string }{
		{"", ""},
		{"CREATE TABLE item (id bigserial PRIMARY KEY, title varchar(20) NOT NULL, open boolean DEFAULT true, at timestamptz DEFAULT now())", ""},
		{"INSERT INTO public.item (title) VALUES ('a;b'), ('it''s') RETURNING id", "1;2"},
		{"SELECT id, title, open FROM item /* ; */ WHERE title = 'a;b' -- ;", "1|a;b|t"},
		{"SELECT 1::int4, '5'::bigint + 1, 'x' || 'y', 2.5::double precision; SELECT 3", "1|6|xy|2.5;3"},
		{"SELECT count(*) FROM item WHERE at <= now()", "2"},
		{"SELECT EXISTS (SELECT 1 FROM item)", "t"},
		{"SELECT id FROM item WHERE id = 1 FOR UPDATE", "1"},
		{"BEGIN; SELECT id FROM item WHERE title ILIKE 'A%' FOR NO KEY UPDATE SKIP LOCKED; COMMIT", "1"},
		{"INSERT INTO item (id, title) VALUES (1, 'c') ON CONFLICT (id) DO UPDATE SET title = excluded.title RETURNING title", "c"},
		{"INSERT INTO item (id) VALUES (9)", "error 23502"},
		{"INSERT INTO item (title) VALUES ('d'); SELECT * FROM missing", "error 42P01"},
		{"SELECT count(*) FROM item", "2"},
		{"WITH n AS (SELECT 7 AS i) INSERT INTO item (id, title) SELECT i, 'n' FROM n RETURNING id", "7"},
		{"UPDATE item SET title = 'z' WHERE id = 7; SELECT title FROM item WHERE id = 7", "z"},
		{"TRUNCATE TABLE item; SELECT count(*) FROM item", "0"},
		{"SHOW server_version", "15.0"},
		{"SET statement_timeout = 5000; SHOW statement_timeout", "5000"},
		{"SET SESSION marigold.request_key TO 'k'; SHOW marigold.request_key", "k"},
		{"BEGIN; SET LOCAL x.y = 'in'; SHOW x.y; COMMIT", "in"},
		{"SHOW x.y", "error 42704"},
		{"BEGIN; SET a.b = 'c'; ROLLBACK", ""},
		{"SHOW a.b", "error 42704"},
		{"SET TIME ZONE 'UTC'; SHOW timezone", "UTC"},
		{"START TRANSACTION READ ONLY; SHOW transaction_read_only; COMMIT", "on"},
		{"CREATE TEMP TABLE scratch (id int); INSERT INTO scratch VALUES (1); SELECT id FROM scratch", "1"},
		{"DISCARD ALL", ""},
		{"SELECT id FROM scratch", "error 42P01"},
		{"SHOW marigold.request_key", "error 42704"},
		{"SELECT pg_is_in_recovery(); SELECT current_database()", "f;db"},
		{"SELECT pg_advisory_lock(1); LISTEN x; LOCK TABLE item", ""},
		{"SELECT server, role FROM marigold_group_status()", "error 42P01"},
		{"SAVEPOINT a", "error 25P01"},
		{"FROBNICATE", "error 0A000"},
		{"DROP TABLE item; SELECT * FROM item", "error 42P01"},
		{"SELECT count(*) FROM item", "0"},
	}
	for _, tc := range cases {
		if got := rowText(t, c, tc.sql); got != tc.want {
			t.Errorf("%s: got %q, want %q", tc.sql, got, tc.want)
		}
	}
	if c.PgConn().TxStatus() != 'I' {
		t.Errorf("transaction status %c", c.PgConn().TxStatus())
	}
}

// Guards against portals that lose rows when a client fetches them in parts.
func TestPortalInParts(t *testing.T) {
	c := connect(t, primary(t), "")
	exec(t, c, "CREATE TABLE item (id bigint PRIMARY KEY)")
	exec(t, c, "INSERT INTO item (id) VALUES (1), (2), (3)")
	fe := c.PgConn().Frontend()
	got := executeInParts(t, fe)
	if got != "DDsDC" {
		t.Errorf("got %s, want two rows, a suspension, one row and the end", got)
	}
}

// Guards against TLS that the server offers but does not speak.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(t, "a")
	cfg.InitialPrimary = true
	cfg.TLS = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	s := start(t, cfg)
	c, err := pgx.Connect(t.Context(), "postgres://user@"+s.Addr()+"/db?sslmode=require")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(t.Context())
	exec(t, c, "SELECT 1")
}

// executeInParts runs a query with a limit of two rows for each Execute and
// returns the answers as letters: D for a row, s for a suspension, C for the
// end.
func executeInParts(t *testing.T, fe *pgproto3.Frontend) string {
	t.Helper()
	fe.Send(&pgproto3.Parse{Query: "SELECT id FROM item"})
	fe.Send(&pgproto3.Bind{})
	fe.Send(&pgproto3.Execute{MaxRows: 2})
	fe.Send(&pgproto3.Execute{MaxRows: 2})
	fe.Send(&pgproto3.Sync{})
	if err := fe.Flush(); err != nil {
		t.Fatal(err)
	}
	letters := ""
	for {
		msg, err := fe.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch msg.(type) {
		case *pgproto3.DataRow:
			letters += "D"
		case *pgproto3.PortalSuspended:
			letters += "s"
		case *pgproto3.CommandComplete:
			letters += "C"
		case *pgproto3.ReadyForQuery:
			return letters
		}
	}
}
