package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"marigoldhub.example/hub/internal/limiter"
)

// Defaults of [PoolConfig].
const (
	DefaultDialTimeout   = 300 * time.Millisecond
	DefaultIdleTimeout   = 15 * time.Second
	DefaultMaxPerAddress = 32
)

// ErrClosed is returned by calls on a closed [Pool].
var ErrClosed = errors.New("messenger is closed")

// ErrNotConnected means that a call failed before it had a connection, so the
// receiver got nothing of it.
var ErrNotConnected = errors.New("no connection to the instance")

// PoolConfig configures a [Pool].
type PoolConfig struct {
	// LocalIP is the source address of outgoing connections. Nil lets the
	// system choose.
	LocalIP net.IP
	// TLS returns the configuration for the next connection. Nil means
	// plain TCP. The host of the address replaces an empty ServerName.
	TLS func() *tls.Config
	// DialTimeout bounds connecting including the TLS handshake. 0 means
	// DefaultDialTimeout.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed and
	// an address without connections is removed. 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before a
	// connection is closed. 0 leaves it to the system, which waits for minutes.
	UserTimeout time.Duration
	// MaxPerAddress limits the connections, and so the concurrent calls, to
	// one address. Further calls wait. 0 means DefaultMaxPerAddress.
	MaxPerAddress int
	// MaxMessageBytes limits a received message. 0 means
	// DefaultMaxMessageBytes.
	MaxMessageBytes int
	// Sockets counts the connections' sockets. Nil counts none.
	Sockets *limiter.Use
	// Registry receives the byte counters. Nil discards them.
	Registry metrics.Registry
	// Clock measures idle times. Nil means the real clock.
	Clock clockwork.Clock
}

// Pool is a [Dialer]. A drpc connection carries one call at a time, so the
// pool keeps several connections per address and gives each call its own. The
// connection of a call that failed or timed out is closed: a late response must
// not reach the next call.
type Pool struct {
	cfg     PoolConfig
	counter *byteCounter
	done    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	peers map[string]*addressPool
}

var _ Dialer = (*Pool)(nil)

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.MaxPerAddress == 0 {
		cfg.MaxPerAddress = DefaultMaxPerAddress
	}
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	p := &Pool{
		cfg:     cfg,
		counter: newByteCounter(cfg.Registry),
		done:    make(chan struct{}),
		peers:   make(map[string]*addressPool),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(p.done)
		p.expireLoop()
	}()
	return p
}

// Dial implements [Dialer]. It opens no connection; the first call does.
func (p *Pool) Dial(ctx context.Context, address string) (drpc.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if p.ctx.Err() != nil {
		return nil, ErrClosed
	}
	return &peerConn{pool: p, address: address}, nil
}

// Done is closed when the pool is closed.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Close closes all connections and ends the calls in progress.
func (p *Pool) Close() error {
	p.cancel()
	<-p.done
	return nil
}

func (p *Pool) expireLoop() {
	ticker := p.cfg.Clock.NewTicker(p.cfg.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			p.expire(func(idleConn) bool { return true })
			return
		case <-ticker.Chan():
			cutoff := p.cfg.Clock.Now().Add(-p.cfg.IdleTimeout)
			p.expire(func(c idleConn) bool { return c.since.Before(cutoff) || isClosed(c.conn) })
		}
	}
}

// expire closes the idle connections that match and removes addresses that
// have neither connections nor calls left.
func (p *Pool) expire(match func(idleConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		kept := peer.idle[:0]
		for _, c := range peer.idle {
			if match(c) {
				go func() { _ = c.conn.Close() }()
				continue
			}
			kept = append(kept, c)
		}
		peer.idle = kept
		if len(peer.idle) == 0 && peer.calls == 0 {
			delete(p.peers, address)
		}
	}
}

// addressPool holds the connections to one address. Pool.mu guards calls and
// idle.
type addressPool struct {
	// slots limits the connections in use; a call puts one element in.
	slots chan struct{}
	// calls counts calls that wait for or hold a slot.
	calls int
	// idle is a stack: the most recently used connection is last.
	idle []idleConn
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

func isClosed(c *drpcconn.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

// acquireSlot counts a call and waits for a slot; release undoes both.
func (p *Pool) acquireSlot(ctx context.Context, address string) (*addressPool, error) {
	p.mu.Lock()
	pr, ok := p.peers[address]
	if !ok {
		pr = &addressPool{slots: make(chan struct{}, p.cfg.MaxPerAddress)}
		p.peers[address] = pr
	}
	pr.calls++
	p.mu.Unlock()
	select {
	case pr.slots <- struct{}{}:
		return pr, nil
	case <-ctx.Done():
		p.mu.Lock()
		pr.calls--
		p.mu.Unlock()
		return nil, ctx.Err()
	}
}

// release ends a call and keeps its connection for reuse. A nil conn means
// that the connection was closed.
func (p *Pool) release(pr *addressPool, conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr.calls--
	<-pr.slots
	if conn == nil {
		return
	}
	if p.ctx.Err() != nil || isClosed(conn) {
		go func() { _ = conn.Close() }()
		return
	}
	pr.idle = append(pr.idle, idleConn{conn: conn, since: p.cfg.Clock.Now()})
}

// getConn returns an idle connection or opens one.
func (p *Pool) getConn(ctx context.Context, pr *addressPool, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	for len(pr.idle) > 0 {
		c := pr.idle[len(pr.idle)-1].conn
		pr.idle = pr.idle[:len(pr.idle)-1]
		if !isClosed(c) {
			p.mu.Unlock()
			return c, nil
		}
	}
	p.mu.Unlock()
	return p.openConn(ctx, address)
}

func (p *Pool) openConn(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1, ControlContext: p.cfg.setUserTimeout}
	if p.cfg.LocalIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.cfg.LocalIP}
	}
	conn, err := p.cfg.Sockets.Dial(func() (net.Conn, error) { return d.DialContext(ctx, "tcp", address) })
	if err != nil {
		return nil, errors.Wrapf(err, "connect to instance at %s", address)
	}
	conn = p.counter.wrap(conn)
	if p.cfg.TLS != nil {
		tlsConn := tls.Client(conn, clientTLS(p.cfg.TLS(), address))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.Wrapf(err, "TLS handshake with instance at %s", address)
		}
		conn = tlsConn
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: p.cfg.MaxMessageBytes},
	}}), nil
}

// clientTLS makes sure that the certificate is verified against a name.
func clientTLS(cfg *tls.Config, address string) *tls.Config {
	if cfg.ServerName != "" {
		return cfg
	}
	cfg = cfg.Clone()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	cfg.ServerName = host
	return cfg
}
