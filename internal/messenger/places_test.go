package messenger

import (
	"io"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
)

// connFrom is a connection from an address. It cannot get a deadline when it is closed.
type connFrom struct {
	net.Conn
	address string
}

func (c connFrom) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(c.address + ":1000"))
}

// Guards against a crowd that takes the places of instances, also of one that is not listed yet,
// against a listed address without a limit, and against the end of connections that are in use
// while others are idle.
func TestPlaces(t *testing.T) {
	const perInstance, shared = 2, 3
	for _, tc := range []struct {
		name string
		// listed are the addresses of instances at first, listedLater those that are listed
		// before the last connection.
		listed, listedLater []string
		// from are the addresses that connect, in this order. used are the connections that
		// are used before the last one.
		from []string
		used []int
		want []int // the connections that are closed
	}{
		{"places left", nil, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9"}, nil, nil},
		{"longest idle", nil, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.9"}, nil, []int{0}},
		{"used since", nil, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.9"}, []int{0}, []int{1}},
		{"listed", []string{"10.0.0.1"}, nil, []string{"10.0.0.1", "10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.9"}, nil, []int{1, 2}},
		{"listed, after the crowd", []string{"10.0.0.1"}, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.1", "10.0.0.1"}, nil, nil},
		{"more than the places of an instance", []string{"10.0.0.1"}, nil, []string{"10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1"}, nil, []int{2}},
		{"two instances at an address", []string{"10.0.0.1", "10.0.0.1"}, nil, []string{"10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1"}, nil, nil},
		{"address with most", nil, nil, []string{"10.0.0.8", "10.0.0.9", "10.0.0.9", "10.0.0.9"}, nil, []int{1}},
		{"listed meanwhile", nil, []string{"10.0.0.9"}, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.8"}, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			listed := CountAddresses(withPort(tc.listed))
			p := newPlaces(Places{Instances: func(a netip.Addr) int { return listed[a] }, PerInstance: perInstance, Shared: shared})
			var conns []net.Conn
			for i, address := range tc.from {
				if i == len(tc.from)-1 {
					for _, used := range tc.used {
						conns[used].Write([]byte("x"))
					}
					if tc.listedLater != nil {
						listed = CountAddresses(withPort(tc.listedLater))
					}
				}
				server, client := net.Pipe()
				defer server.Close()
				defer client.Close()
				go io.Copy(io.Discard, client)
				conns = append(conns, p.add(connFrom{server, address}))
			}
			var closed []int
			for i, conn := range conns {
				if conn.SetDeadline(time.Time{}) != nil {
					closed = append(closed, i)
				}
			}
			if !slices.Equal(closed, tc.want) {
				t.Errorf("connections %v are closed, want %v", closed, tc.want)
			}
			for _, conn := range conns {
				conn.Close()
				conn.Close()
			}
			if len(p.reserved) > 0 || len(p.shared) > 0 {
				t.Errorf("places after the end: %v and %d", p.reserved, len(p.shared))
			}
		})
	}
}

func withPort(hosts []string) []string {
	var addresses []string
	for _, host := range hosts {
		addresses = append(addresses, host+":7000")
	}
	return addresses
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
func TestConnectionsAreClosedBeforeOthersAreAccepted(t *testing.T) {
	const most, crowd = 4, 100
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: tcp}
	log, _ := test.NewNullLogger()
	s := NewServer(ServerConfig{Listener: l, Places: Places{Shared: most}, Log: log})
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
