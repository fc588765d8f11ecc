package limiter_test

import (
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"marigoldhub.example/hub/internal/budgeter"
	"marigoldhub.example/hub/internal/limiter"
)

func newSockets(max int) (*limiter.Sockets, metrics.Registry) {
	r := metrics.NewRegistry()
	log := logrus.New()
	log.SetOutput(new(strings.Builder))
	return limiter.New(limiter.Config{
		Max: max, Clock: clockwork.NewRealClock(), Metrics: r, Refusals: budgeter.NewRefusals(r, log),
	}), r
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// connect opens count connections that stay open.
func connect(t *testing.T, address string, count int) {
	t.Helper()
	for range count {
		conn, err := net.DialTimeout("tcp4", address, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// Guards against a use that takes what is reserved for others, or more than its limit, and
// against reserves that cannot be taken.
func TestReserves(t *testing.T) {
	address := listen(t).Addr().String()
	dial := func() (net.Conn, error) { return net.Dial("tcp4", address) }
	type use struct{ reserve, limit int }
	for _, tc := range []struct {
		name string
		max  int
		uses []use
		// ask is the order in which uses ask for a socket, got how many each gets.
		ask string
		got []int
	}{
		{"one use", 3, []use{{0, 0}}, "00000", []int{3}},
		{"own limit", 5, []use{{0, 2}}, "00000", []int{2}},
		{"reserve of another", 5, []use{{0, 0}, {2, 0}}, "00000111", []int{3, 2}},
		{"beyond the own reserve", 5, []use{{0, 0}, {2, 0}}, "11110000", []int{1, 4}},
		{"limit beside a reserve", 6, []use{{1, 2}, {2, 0}}, "000111111", []int{2, 4}},
		{"everything is reserved", 4, []use{{2, 0}, {2, 0}}, "00001111", []int{2, 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, _ := newSockets(tc.max)
			var uses []*limiter.Use
			for i, u := range tc.uses {
				uses = append(uses, s.NewUse(string(rune('a'+i)), u.reserve, u.limit))
			}
			for _, which := range tc.ask {
				conn, err := uses[which-'0'].Dial(dial)
				if err == nil {
					t.Cleanup(func() { conn.Close() })
				} else if !errors.Is(err, limiter.ErrNoSocket) {
					t.Fatal(err)
				}
			}
			for i, u := range uses {
				if u.Taken() != tc.got[i] {
					t.Errorf("use %d took %d sockets, want %d", i, u.Taken(), tc.got[i])
				}
			}
		})
	}
}

// Guards against sockets that are given back twice or never.
func TestSocketsAreGivenBack(t *testing.T) {
	address := listen(t).Addr().String()
	s, r := newSockets(2)
	u := s.NewUse("a", 0, 0)
	if _, err := u.Dial(func() (net.Conn, error) { return nil, errors.New("unreachable") }); err == nil || u.Taken() != 0 {
		t.Fatalf("error %v, %d sockets after a failed dial", err, u.Taken())
	}
	conns := make([]net.Conn, 2)
	for i := range conns {
		var err error
		if conns[i], err = u.Dial(func() (net.Conn, error) { return net.Dial("tcp4", address) }); err != nil {
			t.Fatal(err)
		}
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		conns[0].Read(make([]byte, 1))
	}()
	for range 3 {
		conns[0].Close()
	}
	<-read
	if u.Taken() != 1 {
		t.Errorf("%d sockets are taken after one of two was closed, want 1", u.Taken())
	}
	if peak := r.Get("sockets.peak").(metrics.Gauge).Value(); peak != 2 {
		t.Errorf("peak %d, want 2", peak)
	}
	conn, err := (*limiter.Use)(nil).Dial(func() (net.Conn, error) { return net.Dial("tcp4", address) })
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
}

// accept accepts connections until the listener is closed.
func accept(l net.Listener) <-chan net.Conn {
	accepted := make(chan net.Conn, 64)
	go func() {
		defer close(accepted)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return accepted
}

// Guards against a crowd that opens more sockets than the process may have: further
// connections wait until others are closed, or are closed when nobody makes room.
func TestListenerWaitsForSockets(t *testing.T) {
	const most, crowd = 4, 12
	s, r := newSockets(most + 2)
	u := s.NewUse("callers", 0, 0)
	l := u.Listen(listen(t))
	defer l.Close()
	accepted := accept(l)
	connect(t, l.Addr().String(), crowd)
	var open []net.Conn
	for range most {
		conn := <-accepted
		defer conn.Close()
		open = append(open, conn)
	}
	refused := r.Get("limits.no_socket").(metrics.Counter)
	for deadline := time.Now().Add(20 * time.Second); refused.Count() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no connection was refused")
		}
	}
	if len(accepted) > 0 || u.Taken() != most+2 {
		t.Fatalf("%d connections more than %d, %d sockets are taken", len(accepted), most, u.Taken())
	}
	open[0].Close()
	conn := <-accepted
	defer conn.Close()
	if u.Taken() > most+2 {
		t.Errorf("%d sockets are taken, want at most %d", u.Taken(), most+2)
	}
}

// Guards against callers that are kept out, and connections to servers that fail, while the
// port has connections that may be closed.
func TestClosedConnectionsMakeRoom(t *testing.T) {
	const most, crowd = 4, 12
	server := listen(t).Addr().String()
	s, r := newSockets(most + 2)
	u, servers := s.NewUse("callers", 0, 0), s.NewUse("servers", 0, 0)
	l := u.Listen(listen(t))
	defer l.Close()
	open := make(chan net.Conn, 2*crowd)
	l.OnFull(func() bool {
		select {
		case conn := <-open:
			conn.Close()
			return true
		default:
			return false
		}
	})
	accepted := accept(l)
	connect(t, l.Addr().String(), crowd)
	for range crowd {
		open <- <-accepted
	}
	conn, err := servers.Dial(func() (net.Conn, error) { return net.Dial("tcp4", server) })
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if peak := r.Get("sockets.peak").(metrics.Gauge).Value(); peak > most+2 {
		t.Errorf("%d sockets were open, want at most %d", peak, most+2)
	}
	if n := r.Get("limits.no_socket").(metrics.Counter).Count(); n > 0 {
		t.Errorf("%d connections were refused", n)
	}
	for len(open) > 0 {
		(<-open).Close()
	}
}

// Guards against a control port that stays closed to other instances while idle callers have all
// sockets, and against a port at its own limit that closes callers in vain.
func TestPortsTakeSocketsFromCallers(t *testing.T) {
	const idle = 4
	for _, tc := range []struct {
		name string
		// limit is that of the other port; 0 means none.
		limit, crowd int
		// wantClosed is how many idle connections of the callers and of the other port are
		// closed, want how many of the crowd are accepted.
		wantCallers, wantOwn, want int
	}{
		{"no limit of its own", 0, 2, 2, 0, 2},
		{"more than the callers have", 0, 6, 4, 2, 6},
		{"own limit", 1, 3, 1, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, _ := newSockets(idle + 4)
			closer := func(open chan net.Conn, closed *atomic.Int64) func() bool {
				return func() bool {
					select {
					case conn := <-open:
						closed.Add(1)
						conn.Close()
						return true
					default:
						return false
					}
				}
			}
			var callersClosed, ownClosed atomic.Int64
			callersOpen, ownOpen := make(chan net.Conn, 16), make(chan net.Conn, 16)
			other := s.NewUse("control", 0, tc.limit)
			callers := s.NewUse("callers", 0, 0).CloseFirst()
			// The order of the calls to Listen does not matter.
			control := other.Listen(listen(t))
			defer control.Close()
			control.OnFull(closer(ownOpen, &ownClosed))
			l := callers.Listen(listen(t))
			defer l.Close()
			l.OnFull(closer(callersOpen, &callersClosed))
			accepted := accept(l)
			connect(t, l.Addr().String(), idle)
			for range idle {
				callersOpen <- <-accepted
			}
			others := accept(control)
			connect(t, control.Addr().String(), tc.crowd)
			for i := range tc.want {
				select {
				case conn := <-others:
					if tc.limit == 0 {
						ownOpen <- conn
					} else {
						defer conn.Close()
					}
				case <-time.After(5 * time.Second):
					t.Fatalf("%d of %d connections were accepted", i, tc.want)
				}
			}
			// The rest of the crowd waits for maxAcceptWait each.
			time.Sleep(100 * time.Millisecond)
			if callersClosed.Load() != int64(tc.wantCallers) || ownClosed.Load() != int64(tc.wantOwn) || len(others) > 0 {
				t.Errorf("%d callers and %d others were closed, want %d and %d; %d more were accepted", callersClosed.Load(), ownClosed.Load(), tc.wantCallers, tc.wantOwn, len(others))
			}
			for _, open := range []chan net.Conn{callersOpen, ownOpen} {
				for len(open) > 0 {
					(<-open).Close()
				}
			}
		})
	}
}

// Guards against a crowd without places of its own that waits for a socket, and so delays
// connections with places, when nothing can be closed, and against one that is refused although
// another port has a connection to close.
func TestConnectionsWithoutPlacesDoNotWait(t *testing.T) {
	const most, crowd = 4, 10
	for _, tc := range []struct {
		name string
		// other is the number of connections of another port that may be closed, want how many
		// of the crowd are refused.
		other, want int
	}{
		{"nothing to close", 0, crowd},
		{"another port has some", 3, crowd - 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := metrics.NewRegistry()
			// A wait would not end, because the clock stands still.
			clock := clockwork.NewFakeClock()
			log, _ := test.NewNullLogger()
			s := limiter.New(limiter.Config{Max: most + 4, Clock: clock, Metrics: r, Refusals: budgeter.NewRefusals(r, log)})
			l := s.NewUse("control", 0, 0).Listen(listen(t))
			defer l.Close()
			l.HavePlaces(func(net.Addr) bool { return false })
			others := s.NewUse("callers", 0, 0).CloseFirst().Listen(listen(t))
			defer others.Close()
			open := make(chan net.Conn, most)
			others.OnFull(func() bool {
				select {
				case conn := <-open:
					conn.Close()
					return true
				default:
					return false
				}
			})
			accepted := accept(others)
			connect(t, others.Addr().String(), most)
			for i := range most {
				if conn := <-accepted; i < tc.other {
					open <- conn
				} else {
					defer conn.Close()
				}
			}
			in := accept(l)
			connect(t, l.Addr().String(), crowd)
			refused := r.Get("limits.no_socket").(metrics.Counter)
			for deadline := time.Now().Add(5 * time.Second); refused.Count() < int64(tc.want); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d of %d connections were refused, want %d", refused.Count(), crowd, tc.want)
				}
			}
			if len(in) != crowd-tc.want {
				t.Errorf("%d connections were accepted, want %d", len(in), crowd-tc.want)
			}
			for len(in) > 0 {
				defer (<-in).Close()
			}
		})
	}
}

// Guards against connections with places of their own at a port that wait behind a crowd without
// ones for as long as each of the crowd waits.
func TestConnectionsWithPlacesDoNotWaitBehindOthers(t *testing.T) {
	const most, crowd = 4, 50
	r := metrics.NewRegistry()
	clock := clockwork.NewFakeClock()
	s := limiter.New(limiter.Config{Max: most + 2, Clock: clock, Metrics: r, Refusals: budgeter.NewRefusals(r, logrus.New())})
	l := s.NewUse("control", 0, 0).Listen(listen(t))
	defer l.Close()
	var mu sync.Mutex
	var open []net.Conn
	closeOne := func() bool {
		mu.Lock()
		defer mu.Unlock()
		if len(open) == 0 {
			return false
		}
		open[0].Close()
		open = open[1:]
		return true
	}
	l.OnFull(closeOne)
	instance := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}
	l.HavePlaces(func(a net.Addr) bool { return a.(*net.TCPAddr).IP.Equal(instance.IP) })
	connect(t, l.Addr().String(), crowd)
	conn, err := (&net.Dialer{LocalAddr: instance}).Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The connection with a place itself waits until others have had time to end.
	go func() {
		if clock.BlockUntilContext(t.Context(), 1) == nil {
			clock.Advance(time.Second / 4)
		}
	}()
	isIn := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			if c.RemoteAddr().String() == conn.LocalAddr().String() {
				close(isIn)
				return
			}
		}
	}()
	select {
	case <-isIn:
	case <-time.After(10 * time.Second):
		t.Fatal("a connection without a place of its own waits for a socket")
	}
	for closeOne() {
	}
	if peak := r.Get("sockets.peak").(metrics.Gauge).Value(); peak > most+2 {
		t.Errorf("%d sockets were open, want at most %d", peak, most+2)
	}
}
