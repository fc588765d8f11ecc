package pooler

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against a cancel request that reaches the statement of the next
// holder: Release waits for it, and an ended handle cancels nothing.
func TestCancelReachesOnlyItsHolder(t *testing.T) {
	s := startServer(t, "secret")
	p := startPool(t, &fixture{grants: map[string]int{"a": 1}}, manifest(entryOf("a", s, 20)), nil)
	c := acquire(t, p, Write)
	c.Send(&pgproto3.Query{String: "sleep"})
	if err := c.Flush(); err != nil {
		t.Fatal(err)
	}
	if err := c.Cancel(context.Background()); err != nil {
		t.Fatal(err)
	}
	if code, err := drain(c); err != nil || code != "57014" {
		t.Fatalf("code %q, error %v, want 57014", code, err)
	}
	// Cancel requests race with Release.
	s.cancelDelay.Store(int64(2 * time.Millisecond))
	for range 30 {
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { _ = c.Cancel(context.Background()) })
		}
		run(t, c, "select")
		c.Release()
		next := acquire(t, p, Write)
		before := s.cancelCount()
		run(t, next, "other")
		wg.Wait()
		if n := s.cancelCount(); n != before {
			t.Fatalf("%d cancel requests arrived after Release", n-before)
		}
		if err := c.Cancel(context.Background()); !errors.Is(err, ErrReleased) {
			t.Fatalf("error %v from an ended handle, want ErrReleased", err)
		}
		// A cancel request that arrives between statements affects only its own
		// holder; the scripted server reports it with the next statement.
		c = next
	}
	c.Release()
}

func (s *scriptedServer) cancelCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.canceled)
}

// Guards against a connection that returns to the pool although a cancel
// request is in flight.
func TestUnansweredCancelDropsConnection(t *testing.T) {
	s := startServer(t, "secret")
	p := startPool(t, &fixture{grants: map[string]int{"a": 1}}, manifest(entryOf("a", s, 20)), nil)
	c := acquire(t, p, Write)
	s.cancelDelay.Store(int64(300 * time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	if err := c.Cancel(ctx); err == nil {
		t.Error("no error from a cancel request without an answer")
	}
	id := c.(*handle).processID
	c.Release()
	next := acquire(t, p, Write)
	defer next.Release()
	if next.(*handle).processID == id {
		t.Error("the connection was reused")
	}
}
