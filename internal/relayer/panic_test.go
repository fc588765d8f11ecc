package relayer_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/guarder"
	"marigoldhub.example/hub/internal/relayer"
)

// Guards against a panic in the work for one caller that ends the process, keeps the caller's
// server connection and its place among those in flight, or keeps others from being served.
// The fixture checks at the end that nothing is left.
func TestPanicReturnsServerConnection(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before is run before the statement that panics.
		before    []string
		statement string
		// after is a part of the query on the server connection whose answer panics.
		after string
	}{
		{"single write", nil, "insert into kv values ('k', 'v')", ""},
		{"begin", nil, "begin", ""},
		{"statement in a transaction", []string{"begin"}, "insert into kv values ('k', 'v')", ""},
		{"statement that pins its connection", nil, "listen changes", ""},
		{"key conflict", []string{"begin"}, "set local marigold.request_key = 'k'", "ROLLBACK"},
		{"key conflict on a pinned connection", []string{"listen changes", "begin"}, "set local marigold.request_key = 'k'", "ROLLBACK"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			c := fx.connect()
			fx.st.mu.Lock()
			fx.st.keys["k"] = "done"
			fx.st.mu.Unlock()
			for _, sql := range tc.before {
				if _, err := c.Exec(ctx, sql); err != nil {
					t.Fatal(err)
				}
			}
			fx.pool.mu.Lock()
			fx.pool.panicOnReceive, fx.pool.panicAfter = true, tc.after
			fx.pool.mu.Unlock()
			if _, err := c.Exec(ctx, tc.statement); err == nil {
				t.Error("the statement succeeded")
			}
			for deadline := time.Now().Add(5 * time.Second); fx.gate.Sessions() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the session has not ended")
				}
			}
			fx.pool.mu.Lock()
			discarded := fx.pool.discarded
			fx.pool.mu.Unlock()
			if discarded != 1 {
				t.Errorf("%d server connections were discarded, want 1", discarded)
			}
			// The caller may pin one connection at a time.
			other := fx.connect()
			if _, err := other.Exec(ctx, "listen changes"); err != nil {
				t.Errorf("another session: %v", err)
			}
		})
	}
}

// Guards against a panic at the end of a session, while its transaction is rolled back, that
// keeps the server connection, the place among those in flight or the reader of the caller's
// messages. The fixture checks the first two.
func TestPanicWhileRollingBack(t *testing.T) {
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
	c.end()
	fx.pool.mu.Lock()
	defer fx.pool.mu.Unlock()
	if fx.pool.discarded != 1 || len(fx.pool.idle["a"]) != 0 {
		t.Errorf("%d server connections were discarded and %d released, want 1 and 0", fx.pool.discarded, len(fx.pool.idle["a"]))
	}
}
