package messenger

import (
	"context"
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

	"marigoldhub.example/hub/internal/messenger/wire"
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
// against a listed address without a limit, and against the end of connections that are in use or
// wait for an answer while others are idle.
func TestPlaces(t *testing.T) {
	const perInstance, shared = 2, 3
	for _, tc := range []struct {
		name string
		// listed are the addresses of instances at first, listedLater those that are listed
		// before the last connection.
		listed, listedLater []string
		// from are the addresses that connect, in this order. used are the connections that
		// are used before the last one. A call runs on those in calling.
		from    []string
		used    []int
		want    []int // the connections that are closed
		calling []int
	}{
		{"places left", nil, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9"}, nil, nil, nil},
		{"longest idle", nil, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.9"}, nil, []int{0}, nil},
		{"used since", nil, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.9"}, []int{0}, []int{1}, nil},
		{"listed", []string{"10.0.0.1"}, nil, []string{"10.0.0.1", "10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.9"}, nil, []int{1, 2}, nil},
		{"listed, after the crowd", []string{"10.0.0.1"}, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.1", "10.0.0.1"}, nil, nil, nil},
		{"more than the places of an instance", []string{"10.0.0.1"}, nil, []string{"10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1"}, nil, []int{2}, nil},
		{"two instances at an address", []string{"10.0.0.1", "10.0.0.1"}, nil, []string{"10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1", "10.0.0.1"}, nil, nil, nil},
		{"address with most", nil, nil, []string{"10.0.0.8", "10.0.0.9", "10.0.0.9", "10.0.0.9"}, nil, []int{1}, nil},
		{"listed meanwhile", nil, []string{"10.0.0.9"}, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.8"}, nil, nil, nil},
		{"longest idle, a call runs", nil, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.9"}, nil, []int{1}, []int{0}},
		{"a call runs on all", nil, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.9", "10.0.0.9"}, nil, []int{0}, []int{0, 1, 2}},
		{"a call runs, address with most", nil, nil, []string{"10.0.0.9", "10.0.0.9", "10.0.0.8", "10.0.0.7"}, nil, []int{0}, []int{0, 1}},
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
					for _, calling := range tc.calling {
						conns[calling].(*placedConn).calls.Add(1)
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

// heldSessions answers a Cancel with a key once gate is closed, and others at once.
type heldSessions struct{ sessions }

func (s *heldSessions) Cancel(ctx context.Context, req *wire.CancelRequest) (*wire.CancelResponse, error) {
	if len(req.GetSecretKey()) > 0 {
		return s.sessions.Cancel(ctx, req)
	}
	return &wire.CancelResponse{}, nil
}

// Guards against a connection that counts as idle while a call runs on it, or as in use after the
// call: a client's last packet may arrive after the answer.
func TestConnectionsWithCallsAreClosedLast(t *testing.T) {
	const answered = 50
	impl := &heldSessions{sessions{gate: make(chan struct{})}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(ServerConfig{Listener: l, Places: Places{Shared: 4}})
	if err := wire.DRPCRegisterSessions(s.Mux(), impl); err != nil {
		t.Fatal(err)
	}
	s.Start()
	defer s.Close()
	address := l.Addr().String()
	running, idle := newPool(t, PoolConfig{}), newPool(t, PoolConfig{})
	held := make(chan error)
	go func() {
		_, err := call(running, address, 10*time.Second, &wire.CancelRequest{SecretKey: []byte("xx")})
		held <- err
	}()
	for isRunning := false; !isRunning; time.Sleep(time.Millisecond) {
		impl.mu.Lock()
		isRunning = impl.n > 0
		impl.mu.Unlock()
	}
	for range answered {
		if _, err := call(idle, address, 5*time.Second, &wire.CancelRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	calls := func() (n int) {
		s.places.mu.Lock()
		defer s.places.mu.Unlock()
		for _, c := range s.places.shared {
			if c.isCalled() {
				n++
			}
		}
		return n
	}
	// The server ends a call shortly after the client has the answer.
	for deadline := time.Now().Add(5 * time.Second); calls() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections count as having a call, want 1", calls())
		}
	}
	if !s.CloseOne() {
		t.Error("no connection was closed")
	}
	close(impl.gate)
	if err := <-held; err != nil {
		t.Errorf("the running call failed: %v", err)
	}
}

// Guards against callers that choose the same connection at the same time, so that fewer are
// closed than reported.
func TestEachConnectionIsClosedOnce(t *testing.T) {
	const shared, runs = 2, 500
	for range runs {
		p := newPlaces(Places{Shared: shared})
		for range shared {
			server, client := net.Pipe()
			defer client.Close()
			defer server.Close()
			p.add(connFrom{server, "10.0.0.9"})
		}
		var closed atomic.Int64
		var wg sync.WaitGroup
		for range 4 * shared {
			wg.Go(func() {
				if p.closeOne() {
					closed.Add(1)
				}
			})
		}
		wg.Wait()
		if n := closed.Load(); n != shared || len(p.shared) > 0 {
			t.Fatalf("%d of %d connections were closed, %d are left", n, shared, len(p.shared))
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
