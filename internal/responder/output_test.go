package responder_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/terminator"
)

// Guards against a slow caller that keeps a server connection from starved sessions, and
// against callers that are cut off although they keep nobody out.
func TestSlowReaders(t *testing.T) {
	cases := []struct {
		name           string
		holds, starved bool
		// want is how long a write takes that the caller never accepts.
		want time.Duration
	}{
		{"holds a server connection while others are starved", true, true, time.Second},
		{"holds a server connection, nobody is starved", true, false, 2 * time.Second},
		{"holds none", false, true, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn, caller := net.Pipe()
			defer caller.Close()
			o := responder.New(responder.Config{
				Conn: conn, WriteWait: 2 * time.Second,
				HoldsServer: func() bool { return c.holds }, IsStarved: func() bool { return c.starved },
			})
			o.Send(&pgproto3.NoData{})
			began := time.Now()
			if err := o.Flush(); !errors.Is(err, terminator.ErrClosed) {
				t.Errorf("got %v, want %v", err, terminator.ErrClosed)
			}
			if d := time.Since(began); d < c.want || c.want < 2*time.Second && d >= 2*time.Second {
				t.Errorf("ended after %v, want %v", d, c.want)
			}
		})
	}
}

// Guards against a dropped answer, or a part of it, that reaches the caller, and against
// output that is cut at the border of two pieces.
func TestOutput(t *testing.T) {
	row := func(n int) *pgproto3.DataRow {
		return &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("x"), n)}}
	}
	cases := []struct {
		name          string
		dropped, sent []pgproto3.BackendMessage
	}{
		{"nothing", nil, nil},
		{"an error in place of an answer", []pgproto3.BackendMessage{row(10)}, []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Code: "40001"}}},
		{"more than a piece", nil, []pgproto3.BackendMessage{row(responder.PieceBytes), row(responder.PieceBytes), &pgproto3.ReadyForQuery{TxStatus: 'I'}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, caller := net.Pipe()
			received := make(chan []byte)
			go func() {
				b, _ := io.ReadAll(caller)
				received <- b
			}()
			o := responder.New(responder.Config{Conn: conn, WriteWait: 5 * time.Second, HoldsServer: func() bool { return false }})
			o.Send(c.dropped...)
			o.Drop()
			o.Send(c.sent...)
			if err := o.Flush(); err != nil {
				t.Fatal(err)
			}
			if o.Len() != 0 {
				t.Errorf("%d bytes left", o.Len())
			}
			_ = conn.Close()
			var want []byte
			for _, m := range c.sent {
				want, _ = m.Encode(want)
			}
			if got := <-received; !bytes.Equal(got, want) {
				t.Errorf("%d bytes arrived, want %d", len(got), len(want))
			}
		})
	}
}

// Guards against a panic beside a slow write that ends the process.
func TestPanicBesideWrite(t *testing.T) {
	conn, caller := net.Pipe()
	defer caller.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := responder.New(responder.Config{
		Conn: conn, WriteWait: 1500 * time.Millisecond, Log: log,
		HoldsServer: func() bool { return true }, IsStarved: func() bool { panic("test of a panic beside a write") },
	})
	o.Send(&pgproto3.NoData{})
	if err := o.Flush(); !errors.Is(err, terminator.ErrClosed) {
		t.Errorf("got %v, want %v", err, terminator.ErrClosed)
	}
}
