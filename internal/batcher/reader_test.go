package batcher_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/terminator"
)

// newReader returns a reader of the connection, and the number of disconnects that it reported.
func newReader(t *testing.T, in io.Reader, end *terminator.Terminator) (*batcher.Reader, *atomic.Int64) {
	var disconnects atomic.Int64
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := batcher.New(batcher.Config{
		Backend: pgproto3.NewBackend(in, io.Discard), Limit: 1 << 10, Terminator: end, Log: log,
		OnDisconnect: func() { disconnects.Add(1) },
	})
	go r.Run(t.Context())
	return r, &disconnects
}

// describe returns an abbreviation of a batch, or of the error that ended the session.
func describe(b *batcher.Batch, err error) string {
	var fatal *terminator.FatalError
	switch {
	case errors.As(err, &fatal):
		return fatal.Response.Code
	case err != nil:
		return err.Error()
	case b.Unsupported != nil:
		return "unsupported " + b.Unsupported.Code
	case b.Query != nil:
		return "query " + b.Query.String
	}
	var parts []string
	for _, m := range b.Messages {
		parts = append(parts, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
	}
	if b.Flushed {
		parts = append(parts, "and Flush")
	}
	return strings.Join(parts, " ")
}

// Guards against batches with messages of others, against messages that are lost or refer to
// the buffer of later ones, and against input that is out of order or too large and goes on.
func TestNext(t *testing.T) {
	type messages = []pgproto3.FrontendMessage
	sync, flush := &pgproto3.Sync{}, &pgproto3.Flush{}
	cases := []struct {
		name  string
		sent  messages
		state batcher.State
		want  []string
	}{
		{"queries", messages{&pgproto3.Query{String: "a"}, &pgproto3.Query{String: "b"}}, batcher.State{}, []string{"query a", "query b"}},
		{"up to Sync", messages{&pgproto3.Parse{}, &pgproto3.Bind{}, &pgproto3.Execute{}, sync, &pgproto3.Query{String: "a"}}, batcher.State{}, []string{"Parse Bind Execute", "query a"}},
		{"up to Flush", messages{&pgproto3.Parse{}, flush, &pgproto3.Bind{}, sync}, batcher.State{}, []string{"Parse and Flush", "Bind"}},
		{"Sync alone", messages{sync, sync}, batcher.State{}, []string{"", ""}},
		{"query in a batch", messages{&pgproto3.Parse{}, &pgproto3.Query{}}, batcher.State{}, []string{"08P01"}},
		{"query before the Sync of a flushed batch", messages{&pgproto3.Query{}}, batcher.State{AwaitsSync: true}, []string{"08P01"}},
		{"function call", messages{&pgproto3.FunctionCall{}}, batcher.State{}, []string{"unsupported 0A000"}},
		{"function call in a batch", messages{&pgproto3.Parse{}, &pgproto3.FunctionCall{}}, batcher.State{}, []string{"08P01"}},
		{"rest of a refused COPY", messages{&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyDone{}, sync}, batcher.State{}, []string{""}},
		{"too large", messages{&pgproto3.Parse{Query: strings.Repeat("x", 1<<10)}}, batcher.State{}, []string{"54000"}},
		{"terminated", messages{&pgproto3.Query{String: "a"}, &pgproto3.Terminate{}}, batcher.State{}, []string{"query a", "caller connection is closed"}},
		{"password", messages{&pgproto3.PasswordMessage{}}, batcher.State{}, []string{"08P01"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, caller := net.Pipe()
			defer conn.Close()
			defer caller.Close()
			r, _ := newReader(t, conn, terminator.New())
			go func() {
				fe := pgproto3.NewFrontend(caller, caller)
				for _, m := range c.sent {
					fe.Send(m)
				}
				_ = fe.Flush()
			}()
			for i, want := range c.want {
				if got := describe(r.Next(c.state)); got != want {
					t.Errorf("batch %d: got %q, want %q", i, got, want)
				}
			}
		})
	}
}

// Guards against a drain that ends a session inside a transaction, and against sessions that
// do not end although they are told to.
func TestEndWhileWaiting(t *testing.T) {
	drain, expire := (*terminator.Terminator).Drain, (*terminator.Terminator).Expire
	cases := []struct {
		name  string
		end   func(*terminator.Terminator)
		state batcher.State
		want  string
	}{
		{"drained, idle", drain, batcher.State{IsIdle: true}, "57P01"},
		{"drained in a transaction", drain, batcher.State{InTransaction: true}, "query a"},
		{"expired, idle", expire, batcher.State{IsIdle: true}, "57P01"},
		{"expired in a transaction", expire, batcher.State{InTransaction: true}, "40001"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, caller := net.Pipe()
			defer conn.Close()
			defer caller.Close()
			end := terminator.New()
			r, _ := newReader(t, conn, end)
			c.end(end)
			time.AfterFunc(50*time.Millisecond, func() {
				fe := pgproto3.NewFrontend(caller, caller)
				fe.Send(&pgproto3.Query{String: "a"})
				_ = fe.Flush()
			})
			if got := describe(r.Next(c.state)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// brokenConn panics, or fails, when it is read.
type brokenConn struct{ panics bool }

func (c brokenConn) Read([]byte) (int, error) {
	if c.panics {
		panic("test of a panic while reading")
	}
	return 0, io.ErrUnexpectedEOF
}

// Guards against a caller that has gone and whose statement goes on, and against a panic while
// reading that ends the process or leaves the session waiting.
func TestDisconnect(t *testing.T) {
	for _, c := range []struct {
		name   string
		panics bool
	}{{"connection lost", false}, {"panic", true}} {
		t.Run(c.name, func(t *testing.T) {
			r, disconnects := newReader(t, brokenConn{c.panics}, terminator.New())
			if got := describe(r.Next(batcher.State{})); got != terminator.ErrClosed.Error() {
				t.Errorf("got %q", got)
			}
			<-r.Done()
			<-r.Disconnected()
			if n := disconnects.Load(); n != 1 {
				t.Errorf("%d disconnects were reported, want 1", n)
			}
		})
	}
}
