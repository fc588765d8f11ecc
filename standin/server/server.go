package server

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/tracker"
	"marigoldhub.example/hub/standin/server/executor"
	"marigoldhub.example/hub/standin/server/logstore"
	"marigoldhub.example/hub/standin/server/node"
	"marigoldhub.example/hub/standin/server/session"
)

const anyPort = "127.0.0.1:0"

// Server is a running backend server.
type Server struct {
	cfg      Config
	node     *node.Node
	sessions *session.Config
	ln       net.Listener
	control  *http.Server
	ctrlAddr string
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	done     chan struct{}
	once     sync.Once
}

// Start starts a server.
func Start(cfg Config) (*Server, error) {
	log := cfg.Log
	if log == nil {
		log = logrus.StandardLogger()
	}
	entry := log.WithField("server", cfg.Name)
	registry := session.NewRegistry()
	n, err := node.Start(node.Config{
		Name: cfg.Name, Dir: cfg.Dir, ReplicationListen: cmp.Or(cfg.ReplicationListen, anyPort), LocalIP: cfg.LocalIP,
		InitialPrimary: cfg.InitialPrimary, Follow: cfg.Follow, Peers: cfg.Peers, ApplyDelay: cfg.ApplyDelay,
		DropClients: registry.DropAll, Log: entry,
	})
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:  cfg,
		node: n,
		sessions: &session.Config{
			Node: n, Registry: registry, Freeze: n.Freeze, TLS: cfg.TLS, Password: cfg.Password,
			ConnectionLimit: cfg.ConnectionLimit, OpenDelay: cfg.OpenDelay, Faults: &executor.Faults{}, Log: entry,
		},
		done: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if s.ln, err = net.Listen("tcp", cmp.Or(cfg.Listen, anyPort)); err != nil {
		s.Close()
		return nil, err
	}
	if cfg.Control != "" {
		if err := s.startControl(); err != nil {
			s.Close()
			return nil, err
		}
	}
	s.tasks.Add(1)
	go s.serve()
	return s, nil
}

// serve accepts clients.
func (s *Server) serve() {
	defer s.tasks.Done()
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.tasks.Add(1)
		go func() {
			defer s.tasks.Done()
			session.Serve(s.ctx, s.sessions, conn)
		}()
	}
}

// Addr returns the address for clients.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// ReplicationAddr returns the address for followers.
func (s *Server) ReplicationAddr() string { return s.node.ReplicationAddr() }

// ControlAddr returns the address of the control port, empty without one.
func (s *Server) ControlAddr() string { return s.ctrlAddr }

// Done is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Status returns the status row.
func (s *Server) Status() tracker.Status {
	st := s.node.Status()
	st.Connections, _ = s.sessions.Registry.Count()
	return st
}

// Records returns the log. The caller must not change it.
func (s *Server) Records() []logstore.Record { return s.node.Records() }

// Statements returns the number of statements executed since the start.
func (s *Server) Statements() int64 { return s.sessions.Registry.Statements.Load() }

// Connections returns the number of open client connections and its peak.
func (s *Server) Connections() (now, peak int) { return s.sessions.Registry.Count() }

// SetApplyDelay sets the age at which a replica applies a record.
func (s *Server) SetApplyDelay(d time.Duration) { s.node.SetApplyDelay(d) }

// SetStoreDelay sets the age at which a replica stores a record.
func (s *Server) SetStoreDelay(d time.Duration) { s.node.SetStoreDelay(d) }

// SetLeaving sets the leaving mark of the status row.
func (s *Server) SetLeaving(on bool) { s.node.SetLeaving(on) }

// SetFrozen stops all answers, replication included, until it is unset.
func (s *Server) SetFrozen(on bool) { s.node.Freeze.Set(on) }

// LoseAnswers makes the next count commits take effect and close the
// connection without an answer.
func (s *Server) LoseAnswers(count int) { s.sessions.Faults.LoseAnswer.Store(int64(count)) }

// SetSlow delays each statement by d.
func (s *Server) SetSlow(d time.Duration) { s.sessions.Faults.Slow.Store(int64(d)) }

// Close stops the server at once, as the death of its process would.
func (s *Server) Close() {
	s.once.Do(func() {
		s.cancel()
		if s.ln != nil {
			s.ln.Close()
		}
		if s.control != nil {
			s.control.Close()
		}
		s.sessions.Registry.DropAll()
		s.node.Close()
		s.tasks.Wait()
		close(s.done)
	})
}
