package messenger

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
)

// Guards against peers that connect and make no call until no descriptor is left, and against
// the end of connections that are in use.
func TestUnansweredConnectionsAreLimited(t *testing.T) {
	var u unanswered
	open := func() (net.Conn, net.Conn) {
		server, client := net.Pipe()
		t.Cleanup(func() {
			server.Close()
			client.Close()
		})
		return u.add(server, 2), client
	}
	used, peer := open()
	go peer.Read(make([]byte, 1))
	if _, err := used.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	first, _ := open()
	second, _ := open()
	third, _ := open()
	for _, tc := range []struct {
		name   string
		conn   net.Conn
		closed bool
	}{
		{"used", used, false},
		{"first", first, true},
		{"second", second, false},
		{"third", third, false},
	} {
		// A pipe that is closed cannot get a deadline.
		if closed := tc.conn.SetDeadline(time.Time{}) != nil; closed != tc.closed {
			t.Errorf("%s is closed: %v", tc.name, closed)
		}
	}
}

// countingListener counts its connections that are open, and the largest number of them.
type countingListener struct {
	net.Listener
	open, most atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.most.Store(max(l.most.Load(), l.open.Add(1)))
	return &countedOpen{Conn: conn, l: l}, nil
}

type countedOpen struct {
	net.Conn
	l    *countingListener
	once sync.Once
}

func (c *countedOpen) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}

// Guards against a crowd that is accepted faster than the connections' goroutines run: the
// oldest must be closed before further ones are accepted.
func TestUnansweredConnectionsAreClosedBeforeOthersAreAccepted(t *testing.T) {
	const most, crowd = 4, 100
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: tcp}
	log, _ := test.NewNullLogger()
	s := NewServer(ServerConfig{Listener: l, MaxUnanswered: most, Log: log})
	defer s.Close()
	for range crowd {
		conn, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	s.Start()
	for deadline := time.Now().Add(10 * time.Second); l.most.Load() == 0 || l.open.Load() != most; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open, want %d", l.open.Load(), most)
		}
	}
	if n := l.most.Load(); n > most+1 {
		t.Errorf("%d connections were open, want at most %d", n, most+1)
	}
}
