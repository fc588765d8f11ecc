package gatekeeper

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Guards against idle sessions that keep new callers out for ever, and against sessions that
// end although there is room.
func TestIdleSessionMakesRoom(t *testing.T) {
	for _, tc := range []struct {
		name  string
		max   int
		ended bool
	}{
		{"full", 1, true},
		{"room left", 2, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, address := start(t, Config{MaxConnections: tc.max}, nil)
			url := fmt.Sprintf("postgres://web:secret@%s/db?sslmode=disable", address)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			first, err := pgconn.Connect(ctx, url)
			if err != nil {
				t.Fatal(err)
			}
			defer first.Close(ctx)
			time.Sleep(2 * minIdle)
			second, err := pgconn.Connect(ctx, url)
			if err != nil {
				t.Fatal(err)
			}
			defer second.Close(ctx)
			wait, stop := context.WithTimeout(ctx, 5*minIdle)
			defer stop()
			_, err = first.ReceiveMessage(wait)
			if got := err == nil || wait.Err() == nil; got != tc.ended {
				t.Errorf("the idle session has ended: %v (%v), want %v", got, err, tc.ended)
			}
		})
	}
}

// Guards against a burst of connections that do not authenticate and end an idle session each
// before they are refused.
func TestUnauthenticatedBurstEndsNoSession(t *testing.T) {
	g, address := start(t, Config{MaxConnections: 2, MaxUnauthenticated: 1}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	session, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://web:secret@%s/db?sslmode=disable", address))
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close(ctx)
	time.Sleep(2 * minIdle)
	for range 10 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	wait, stop := context.WithTimeout(ctx, 5*minIdle)
	defer stop()
	if _, err := session.ReceiveMessage(wait); err == nil || wait.Err() == nil {
		t.Errorf("the idle session has ended: %v", err)
	}
	if n := g.Sessions(); n != 1 {
		t.Errorf("%d sessions, want 1", n)
	}
}
