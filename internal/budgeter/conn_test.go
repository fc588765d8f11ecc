package budgeter_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/budgeter"
)

// Guards against calls of other instances that are read without memory, and against memory
// that is not returned when a call has been answered or its connection has ended.
func TestLargeCallsReserve(t *testing.T) {
	const budget = 1 << 20
	for _, tc := range []struct {
		name string
		// sent is the size of the call, whose reading is refused if refused is set.
		sent    int
		held    bool
		refused bool
	}{
		{"small call", 60 << 10, true, false},
		{"large call", 100 << 10, false, false},
		{"large call without memory", 100 << 10, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(budget)
			if tc.held {
				holder := f.account("holder")
				mustReserve(t, holder, budget-1000)
				holder.SetRunning(true)
			}
			server, client := net.Pipe()
			defer client.Close()
			c := f.NewConn(server)
			go client.Write(make([]byte, tc.sent))
			done := make(chan error, 1)
			go func() {
				var err error
				for received, buf := 0, make([]byte, 4<<10); received < tc.sent && err == nil; {
					var n int
					n, err = c.Read(buf)
					received += n
				}
				done <- err
			}()
			if err := advanceUntil(t, f, done); errors.Is(err, budgeter.ErrExhausted) != tc.refused {
				t.Fatalf("reading: %v", err)
			}
			go io.Copy(io.Discard, client)
			if _, err := c.Write([]byte("answer")); err != nil {
				t.Fatal(err)
			}
			if !tc.held {
				mustReserve(t, f.account("next"), budget)
			}
			c.Close()
			if err := c.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against an answer that is ready and waits until the budget has memory for what else
// arrives on its connection, and against memory that is not returned then.
func TestAnswersDoNotWaitForMemory(t *testing.T) {
	const budget = 1 << 20
	for _, tc := range []struct {
		name   string
		closes bool
	}{
		{"answered", false},
		{"answered and closed", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(budget)
			holder := f.account("holder")
			mustReserve(t, holder, budget-1000)
			holder.SetRunning(true)
			server, client := net.Pipe()
			defer client.Close()
			c := f.NewConn(server)
			go client.Write(make([]byte, 100<<10))
			read := make(chan error, 1)
			go func() {
				var err error
				for buf := make([]byte, 4<<10); err == nil; {
					_, err = c.Read(buf)
				}
				read <- err
			}()
			waits := metrics.GetOrRegisterCounter("budget.waits", f.metrics)
			for deadline := time.Now().Add(5 * time.Second); waits.Count() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the call does not wait for memory")
				}
			}
			go io.Copy(io.Discard, client)
			answered := make(chan error, 1)
			go func() {
				_, err := c.Write([]byte("answer"))
				if tc.closes {
					c.Close()
				}
				answered <- err
			}()
			select {
			case err := <-answered:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(5 * time.Second):
				t.Error("the answer waits for memory")
			}
			holder.Close()
			client.Close()
			if err := advanceUntil(t, f, read); err == nil {
				t.Error("the connection was read after its end")
			}
			c.Close()
			if used := f.Used(); used != 0 {
				t.Errorf("%d bytes are still reserved", used)
			}
		})
	}
}

// Guards against a call that has arrived as a whole and waits, or fails, for lack of memory for
// more of it: its last byte was the last for which memory was reserved.
func TestCompleteCallNeedsNoMoreMemory(t *testing.T) {
	const budget, size = 1 << 20, 64 << 10
	f := newFixture(budget)
	holder := f.account("holder")
	mustReserve(t, holder, budget-1000)
	holder.SetRunning(true)
	server, client := net.Pipe()
	defer client.Close()
	c := f.NewConn(server)
	defer c.Close()
	go client.Write(make([]byte, size))
	received := make(chan error, 1)
	ended := make(chan error, 1)
	go func() {
		buf := make([]byte, 4<<10)
		for n := 0; n < size; {
			read, err := c.Read(buf)
			if err != nil {
				received <- err
				return
			}
			n += read
		}
		received <- nil
		_, err := c.Read(buf)
		ended <- err
	}()
	if err := advanceUntil(t, f, received); err != nil {
		t.Fatalf("reading the call: %v", err)
	}
	for range 100 {
		f.clock.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	select {
	case err := <-ended:
		t.Fatalf("the connection ended before the answer: %v", err)
	default:
	}
	go c.Write([]byte("answer"))
	if _, err := io.ReadFull(client, make([]byte, len("answer"))); err != nil {
		t.Errorf("the answer did not arrive: %v", err)
	}
	client.Close()
	<-ended
}

// Guards against a crowd of connections that keeps others out of a port for short calls.
func TestListenerClosesTheOldest(t *testing.T) {
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	f := newFixture(100)
	l := budgeter.NewListener(tcp, 2, f.clock, f.Refusals())
	var accepted, dialed []net.Conn
	for range 4 {
		f.clock.Advance(time.Second)
		d, err := net.Dial("tcp4", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer d.Close()
		a, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		accepted, dialed = append(accepted, a), append(dialed, d)
		if len(accepted) == 3 {
			// One that has ended needs no room.
			accepted[2].Close()
		}
	}
	for i, want := range []bool{true, false, true, false} {
		dialed[i].SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := dialed[i].Read(make([]byte, 1))
		if got := errors.Is(err, io.EOF); got != want {
			t.Errorf("connection %d is closed: %v, want %v", i, got, want)
		}
	}
	if n := f.count(budgeter.ConnectionDisplaced); n != 1 {
		t.Errorf("%d displaced connections are counted", n)
	}
}

// Guards against a crowd that closes the connection of a call before it can be answered.
func TestListenerKeepsNewConnections(t *testing.T) {
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	f := newFixture(100)
	l := budgeter.NewListener(tcp, 1, f.clock, f.Refusals())
	accepted := make(chan net.Conn, 2)
	go func() {
		for range 2 {
			if a, err := l.Accept(); err == nil {
				accepted <- a
			}
		}
	}()
	for range 2 {
		d, err := net.Dial("tcp4", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer d.Close()
	}
	defer (<-accepted).Close()
	select {
	case <-accepted:
		t.Fatal("a new connection was closed for another one")
	case <-time.After(50 * time.Millisecond):
	}
	defer advanceUntil(t, f, accepted).Close()
	if n := f.count(budgeter.ConnectionDisplaced); n != 1 {
		t.Errorf("%d displaced connections are counted", n)
	}
}
