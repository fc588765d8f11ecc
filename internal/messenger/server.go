package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"marigoldhub.example/hub/internal/guarder"
)

// Defaults of [ServerConfig].
const (
	// DefaultMaxConnections allows each of 64 members 16 connections.
	DefaultMaxConnections = 1024
	// DefaultMaxMessageBytes leaves room for several envelopes of 1 MB, the
	// store's size limit.
	DefaultMaxMessageBytes = 8 << 20
)

const (
	handshakeTimeout = time.Second
	// serverIdleTimeout is longer than DefaultIdleTimeout, so that the client
	// closes idle connections first and no call meets a closing connection.
	serverIdleTimeout = time.Minute
	acceptRetryDelay  = 20 * time.Millisecond
)

// ServerConfig configures a [Server].
type ServerConfig struct {
	// Listener accepts connections. The server closes it.
	Listener net.Listener
	// TLS returns the configuration for the next connection. Nil means
	// plain TCP.
	TLS func() *tls.Config
	// MaxConnections limits the open connections; further ones are closed at
	// once. 0 means DefaultMaxConnections.
	MaxConnections int
	// Places keeps places for the connections of instances.
	Places Places
	// Wrap wraps an accepted connection, for example to limit its memory. Nil leaves it as
	// it is.
	Wrap func(net.Conn) net.Conn
	// MaxMessageBytes limits a received message. 0 means
	// DefaultMaxMessageBytes.
	MaxMessageBytes int
	// Registry receives the byte counters. Nil discards them.
	Registry metrics.Registry
	// Log is logrus' standard logger if nil.
	Log logrus.FieldLogger
}

// Server serves drpc services to other instances.
type Server struct {
	cfg     ServerConfig
	mux     *drpcmux.Mux
	rpc     *drpcserver.Server
	counter *byteCounter
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	conns   sync.WaitGroup
	slots   chan struct{}
	start   sync.Once
	places  *places
}

// NewServer returns a server that does not accept connections yet. Services
// are registered on Mux before Start.
func NewServer(cfg ServerConfig) *Server {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	s := &Server{
		cfg:     cfg,
		mux:     drpcmux.New(),
		counter: newByteCounter(cfg.Registry),
		done:    make(chan struct{}),
		slots:   make(chan struct{}, cfg.MaxConnections),
		places:  newPlaces(cfg.Places),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.rpc = drpcserver.NewWithOptions(callCounter{s.mux}, drpcserver.Options{Manager: drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: cfg.MaxMessageBytes},
		InactivityTimeout: serverIdleTimeout,
	}})
	return s
}

// Mux returns the registry of services, for generated functions such as
// wire.DRPCRegisterMembership(s.Mux(), impl).
func (s *Server) Mux() drpc.Mux { return s.mux }

// Start begins to accept connections. Further calls do nothing.
func (s *Server) Start() {
	s.start.Do(func() { go s.accept() })
}

// Done is closed when the server has stopped and all its connections are closed.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops the server and waits for its connections. Calls in progress are
// canceled.
func (s *Server) Close() error {
	s.cancel()
	err := s.cfg.Listener.Close()
	s.start.Do(func() { close(s.done) })
	<-s.done
	return err
}

func (s *Server) accept() {
	defer close(s.done)
	defer s.conns.Wait()
	for {
		conn, err := s.cfg.Listener.Accept()
		if s.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.cfg.Log.WithError(err).Warn("messenger: accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case s.slots <- struct{}{}:
			// Another one is closed before the next is accepted. Otherwise those whose
			// goroutines have not run yet exceed the limit.
			conn = s.places.add(s.counter.wrap(conn))
			s.conns.Go(func() { s.serve(conn) })
		default:
			s.cfg.Log.WithField("remote", conn.RemoteAddr()).Warn("messenger: connection limit reached")
			_ = conn.Close()
		}
	}
}

// CloseOne closes a connection in a shared place in favor of others; false if there is none.
func (s *Server) CloseOne() bool { return s.places.closeOne() }

// HasPlace reports whether a listed instance has the address and a free place.
func (s *Server) HasPlace(a net.Addr) bool { return s.places.hasFree(addressOf(a)) }

func (s *Server) serve(conn net.Conn) {
	defer func() { <-s.slots }()
	ctx := context.WithValue(s.ctx, placedConnKey{}, conn)
	if s.cfg.Wrap != nil {
		conn = s.cfg.Wrap(conn)
	}
	defer func() { _ = conn.Close() }()
	defer guarder.Recover(s.cfg.Log, "calls of another instance")
	// Closing the connection ends a handshake or a read that blocks.
	stop := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	defer stop()
	if s.cfg.TLS != nil {
		tlsConn, err := s.handshake(conn)
		if err != nil {
			s.cfg.Log.WithError(err).WithField("remote", conn.RemoteAddr()).Warn("messenger: TLS handshake failed")
			return
		}
		conn = tlsConn
	}
	_ = s.rpc.ServeOne(ctx, conn)
}

func (s *Server) handshake(conn net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(s.ctx, handshakeTimeout)
	defer cancel()
	tlsConn := tls.Server(conn, s.cfg.TLS())
	return tlsConn, tlsConn.HandshakeContext(ctx)
}
