package relayer_test

import (
	"context"
	"testing"
	"time"
)

// Guards against a panic in the work for one caller that ends the process, keeps the caller's
// server connection and its place among those in flight, or keeps others from being served.
// The fixture checks at the end that nothing is left.
func TestPanicReturnsServerConnection(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before is run before the statement that panics.
		before, statement string
	}{
		{"single write", "", "insert into kv values ('k', 'v')"},
		{"begin", "", "begin"},
		{"statement in a transaction", "begin", "insert into kv values ('k', 'v')"},
		{"statement that pins its connection", "", "listen changes"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			c := fx.connect()
			if tc.before != "" {
				if _, err := c.Exec(ctx, tc.before); err != nil {
					t.Fatal(err)
				}
			}
			fx.pool.mu.Lock()
			fx.pool.panicOnReceive = true
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
