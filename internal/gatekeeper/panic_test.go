package gatekeeper

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// panickingListener accepts connections whose reads panic once the flag is set.
type panickingListener struct {
	net.Listener
	panics *atomic.Bool
}

func (l panickingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return panickingConn{c, l.panics}, nil
}

type panickingConn struct {
	net.Conn
	panics *atomic.Bool
}

func (c panickingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.panics.CompareAndSwap(true, false) {
		panic("test of a panic while a message is read")
	}
	return n, err
}

// Guards against a message whose decoding panics and ends the process, before or after
// authentication, and against its connection that stays open or keeps its place.
func TestPanicWhileReading(t *testing.T) {
	for _, tc := range []struct {
		name string
		// send sends what panics on the connection that it returns.
		send func(t *testing.T, addr string, panics *atomic.Bool) net.Conn
	}{
		{"before authentication", func(t *testing.T, addr string, panics *atomic.Bool) net.Conn {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			panics.Store(true)
			c.Write([]byte{0, 0, 0, 8})
			return c
		}},
		{"in a session", func(t *testing.T, addr string, panics *atomic.Bool) net.Conn {
			conn, failure := connect(t, addr, "web", "secret", "db", "sslmode=disable")
			if conn == nil {
				t.Fatal(failure)
			}
			panics.Store(true)
			c := conn.Conn()
			c.Write([]byte{'Q', 0, 0, 0, 9, 's', 'e', 'l', 'e', 0})
			return c
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var panics atomic.Bool
			g, addr := startAt(t, Config{}, nil, func(l net.Listener) net.Listener { return panickingListener{l, &panics} })
			c := tc.send(t, addr, &panics)
			defer c.Close()
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			for b := make([]byte, 512); ; {
				if _, err := c.Read(b); isTimeout(err) {
					t.Fatal("the connection stays open")
				} else if err != nil {
					break
				}
			}
			for deadline := time.Now().Add(5 * time.Second); g.Sessions() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the session keeps its place")
				}
			}
			for range 2 {
				if conn, failure := connect(t, addr, "web", "secret", "db", "sslmode=disable"); conn == nil {
					t.Errorf("another caller: %s", failure)
				}
			}
		})
	}
}
