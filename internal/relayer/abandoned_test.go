package relayer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/guarder"
	"marigoldhub.example/hub/internal/relayer"
)

// hijack returns the connection of an authenticated caller.
func (fx *fixture) hijack() net.Conn {
	fx.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := pgconn.Connect(ctx, fx.url())
	if err != nil {
		fx.t.Fatal(err)
	}
	h, err := c.Hijack()
	if err != nil {
		fx.t.Fatal(err)
	}
	return h.Conn
}

// Guards against callers that cost a server connection each when they leave in the middle of
// an answer or of a transaction: opening connections is slower than a crowd of them. State of
// such a session, and what its transaction wrote, must not outlive it.
func TestCallersThatLeaveKeepServerConnections(t *testing.T) {
	const rounds = 5
	for _, tc := range []struct {
		name    string
		queries []string
		// reads is how many bytes the caller reads before it leaves.
		reads int
		// discards is how many server connections each caller costs.
		discards int
	}{
		{"in a transaction", []string{"begin", "insert into kv values ('left', '1')"}, 36, 0},
		{"in a failed transaction", []string{"begin", "select 1/0"}, 40, 0},
		{"in an answer in a transaction", []string{"begin", "select big"}, 600, 0},
		{"in an answer of a replica", []string{"select big from kv"}, 600, 0},
		{"in the middle of a statement", []string{"begin", "select pg_sleep(10)"}, 17, 0},
		{"with session state", []string{"set work_mem = '1MB'", "select 1"}, 40, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t)
			for range rounds {
				conn := fx.hijack()
				for _, sql := range tc.queries {
					message, err := (&pgproto3.Query{String: sql}).Encode(nil)
					if err != nil {
						t.Fatal(err)
					}
					if _, err := conn.Write(message); err != nil {
						t.Fatal(err)
					}
				}
				conn.SetReadDeadline(time.Now().Add(10 * time.Second))
				for left := tc.reads; left > 0; {
					n, err := conn.Read(make([]byte, left))
					if err != nil {
						t.Fatal(err)
					}
					left -= n
				}
				conn.Close()
				for deadline := time.Now().Add(20 * time.Second); fx.gate.Sessions() > 0; time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatal("the session has not ended")
					}
				}
			}
			fx.pool.mu.Lock()
			discarded := fx.pool.discarded
			fx.pool.mu.Unlock()
			if want := rounds * tc.discards; discarded != want {
				t.Errorf("%d server connections were discarded for %d callers, want %d", discarded, rounds, want)
			}
			if value := fx.st.row("left"); value != "" {
				t.Errorf("the transaction of a caller that left is committed: %q", value)
			}
		})
	}
}

// Guards against a server connection that is used again after a panic inside an exchange, with
// the answer to an earlier statement unread: the next caller would get that answer.
func TestServerConnectionIsDiscardedAfterPanic(t *testing.T) {
	for _, tc := range []struct{ name, sql string }{
		{"statement that ends the transaction", "commit"},
		{"rollback", "rollback"},
		{"statement in the transaction", "select 1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			c := fx.startRawSession(t, func(s *relayer.Session) {
				defer guarder.Recover(log, "session")
				s.Run()
			})
			c.send("begin")
			if got := c.answers(); got != "BEGIN; ready T" {
				t.Fatal(got)
			}
			fx.pool.mu.Lock()
			fx.pool.panicOnReceive = true
			fx.pool.mu.Unlock()
			c.send(tc.sql)
			if got := c.answers(); got != "closed" {
				t.Errorf("answer after the panic: %s", got)
			}
			<-c.done
			fx.pool.mu.Lock()
			defer fx.pool.mu.Unlock()
			if fx.pool.discarded != 1 || len(fx.pool.idle["a"]) != 0 {
				t.Errorf("%d server connections were discarded and %d released, want 1 and 0", fx.pool.discarded, len(fx.pool.idle["a"]))
			}
		})
	}
}
