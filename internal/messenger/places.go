package messenger

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"storj.io/drpc"

	"marigoldhub.example/hub/internal/budgeter"
)

// Places says which connections of a [Server] keep their places while others connect without
// end. A server cannot tell an instance from anybody else by the calls that it completes, so
// that instances are known by the addresses in the list of instances.
type Places struct {
	// Instances returns how many listed instances have the address.
	Instances func(netip.Addr) int
	// PerInstance is the number of connections for which each listed instance has places.
	PerInstance int
	// Shared is the number of places for all other connections. When one more is accepted,
	// the address with most of them loses the one that has been idle for longest, and one on
	// which a call runs only if it has no other. 0 means no limit.
	Shared int
	// Refusals counts the connections that are closed in favor of others. Nil counts none.
	Refusals *budgeter.Refusals
}

// places are the connections of a server by who has them.
type places struct {
	cfg Places
	// uses numbers the reads and writes of all connections.
	uses atomic.Uint64

	mu sync.Mutex
	// reserved is the number of connections in places of listed instances by their address.
	reserved map[netip.Addr]int
	shared   []*placedConn
}

func newPlaces(cfg Places) *places { return &places{cfg: cfg, reserved: map[netip.Addr]int{}} }

// add gives the connection a place. If it needs a shared one and none is free, it closes another
// connection first.
func (p *places) add(conn net.Conn) net.Conn {
	if p.cfg.Shared == 0 {
		return conn
	}
	c := &placedConn{Conn: conn, places: p, address: addressOf(conn.RemoteAddr())}
	c.use()
	p.mu.Lock()
	c.isReserved = p.reserve(c.address)
	var displaced *placedConn
	if !c.isReserved {
		displaced = p.chooseDisplaced(p.cfg.Shared - 1)
		p.shared = append(p.shared, c)
	}
	p.mu.Unlock()
	p.displace(displaced)
	return c
}

// closeOne closes a connection in a shared place; false if there is none.
func (p *places) closeOne() bool {
	p.mu.Lock()
	displaced := p.chooseDisplaced(0)
	p.mu.Unlock()
	p.displace(displaced)
	return displaced != nil
}

func (p *places) displace(c *placedConn) {
	if c == nil {
		return
	}
	if p.cfg.Refusals != nil {
		p.cfg.Refusals.Add(budgeter.PeerDisplaced)
	}
	_ = c.Close()
}

// hasFree reports whether a listed instance has the address and a free place.
func (p *places) hasFree(a netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserved[a] < p.limit(a)
}

func (p *places) limit(a netip.Addr) int {
	if p.cfg.Instances == nil {
		return 0
	}
	return p.cfg.Instances(a) * p.cfg.PerInstance
}

// reserve takes a place of the listed instances with the address; false if there is none. The
// caller holds mu.
func (p *places) reserve(a netip.Addr) bool {
	if p.reserved[a] >= p.limit(a) {
		return false
	}
	p.reserved[a]++
	return true
}

// chooseDisplaced takes its shared place from the connection that loses it when more than keep
// are taken: of the address with most of them, one without a running call before others, and the
// one that has been idle for longest. One whose address has been listed meanwhile gets a place of
// its instance instead. Nil means that none has to go. The caller holds mu.
func (p *places) chooseDisplaced(keep int) *placedConn {
	if len(p.shared) <= keep {
		return nil
	}
	count := map[netip.Addr]int{}
	for _, c := range p.shared {
		count[c.address]++
	}
	for len(p.shared) > keep {
		c := slices.MinFunc(p.shared, func(a, b *placedConn) int {
			if d := count[b.address] - count[a.address]; d != 0 {
				return d
			}
			if a.isCalled() != b.isCalled() {
				if a.isCalled() {
					return 1
				}
				return -1
			}
			return int(a.lastUse.Load()) - int(b.lastUse.Load())
		})
		p.unshare(c)
		if !p.reserve(c.address) {
			return c
		}
		count[c.address]--
		c.isReserved = true
	}
	return nil
}

// unshare removes the connection from those in shared places. The caller holds mu.
func (p *places) unshare(c *placedConn) {
	if i := slices.Index(p.shared, c); i >= 0 {
		p.shared = slices.Delete(p.shared, i, i+1)
	}
}

// placedConn is a connection that gives up its place when it is closed.
type placedConn struct {
	net.Conn
	places  *places
	address netip.Addr
	// lastUse is the number of the last read or write.
	lastUse atomic.Uint64
	// calls is the number of calls that run. Reads and writes do not show this: a client may
	// send the end of a call after it has received the answer.
	calls atomic.Int64
	once  sync.Once
	// The places' mutex guards isReserved.
	isReserved bool
}

func (c *placedConn) use() { c.lastUse.Store(c.places.uses.Add(1)) }

// isCalled reports whether a call runs on the connection.
func (c *placedConn) isCalled() bool { return c.calls.Load() > 0 }

// placedConnKey is the key of a call's connection in its context.
type placedConnKey struct{}

// callCounter counts the running calls of each connection.
type callCounter struct{ drpc.Handler }

// HandleRPC implements [drpc.Handler].
func (h callCounter) HandleRPC(stream drpc.Stream, rpc string) error {
	if c, ok := stream.Context().Value(placedConnKey{}).(*placedConn); ok {
		c.calls.Add(1)
		defer c.calls.Add(-1)
	}
	return h.Handler.HandleRPC(stream, rpc)
}

// Read implements [net.Conn].
func (c *placedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.use()
	return n, err
}

// Write implements [net.Conn].
func (c *placedConn) Write(b []byte) (int, error) {
	c.use()
	return c.Conn.Write(b)
}

// Close implements [net.Conn].
func (c *placedConn) Close() error {
	c.once.Do(c.leave)
	return c.Conn.Close()
}

func (c *placedConn) leave() {
	p := c.places
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.isReserved {
		p.unshare(c)
		return
	}
	if p.reserved[c.address]--; p.reserved[c.address] == 0 {
		delete(p.reserved, c.address)
	}
}

// addressOf returns the IP address of a TCP address; the zero value if it is none.
func addressOf(a net.Addr) netip.Addr {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

// CountAddresses returns how many of the addresses "host:port" have each IP address.
func CountAddresses(addresses []string) map[netip.Addr]int {
	count := map[netip.Addr]int{}
	for _, address := range addresses {
		if a, err := netip.ParseAddrPort(address); err == nil {
			count[a.Addr().Unmap()]++
		}
	}
	return count
}
