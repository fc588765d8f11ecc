package session

import (
	"context"
	"errors"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/standin/server/executor"
	"marigoldhub.example/hub/standin/server/rows"
)

// Session is one client connection.
type Session struct {
	cfg    *Config
	conn   net.Conn
	raw    net.Conn
	be     *pgproto3.Backend
	ctx    context.Context
	cancel context.CancelFunc
	pid    uint32
	secret []byte

	user       string
	exec       *executor.Executor
	statements map[string]*executor.Prepared
	portals    map[string]*portal
	plans      map[string]plan
	// skipping is set between an error and the next Sync.
	skipping bool
}

// Serve serves one client connection to its end.
func Serve(ctx context.Context, cfg *Config, conn net.Conn) {
	s := &Session{
		cfg:        cfg,
		conn:       conn,
		raw:        conn,
		be:         pgproto3.NewBackend(conn, conn),
		statements: map[string]*executor.Prepared{},
		portals:    map[string]*portal{},
		plans:      map[string]plan{},
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	defer context.AfterFunc(s.ctx, func() { s.raw.Close() })()
	defer s.close()
	if err := s.open(); err != nil {
		cfg.Log.WithError(err).Debug("server: connection not opened")
		return
	}
	if err := s.loop(); err != nil {
		cfg.Log.WithError(err).Debug("server: connection ended")
	}
}

// close releases everything that the session holds.
func (s *Session) close() {
	s.cancel()
	if s.exec != nil {
		s.exec.Close()
	}
	s.raw.Close()
	s.cfg.Registry.remove(s)
}

// drop ends the session from outside.
func (s *Session) drop() {
	s.raw.Close()
	s.cancel()
}

func (s *Session) loop() error {
	for {
		msg, err := s.be.Receive()
		if err != nil {
			return err
		}
		s.cfg.Freeze.Wait(s.ctx)
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		s.exec.Lock()
		flush, err := s.handle(msg)
		s.exec.Unlock()
		if err != nil {
			return err
		}
		if !flush {
			continue
		}
		s.cfg.Freeze.Wait(s.ctx)
		if err := s.be.Flush(); err != nil {
			return err
		}
		s.exec.Answered()
	}
}

// handle processes one message and reports whether answers must be sent now.
func (s *Session) handle(msg pgproto3.FrontendMessage) (flush bool, err error) {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		err := s.simpleQuery(msg.String)
		s.ready()
		return true, err
	case *pgproto3.Sync:
		s.skipping = false
		err := s.exec.EndImplicit()
		if err != nil && !errors.Is(err, executor.ErrLost) {
			s.fail(err)
			err = nil
		}
		s.ready()
		return true, err
	case *pgproto3.Flush:
		return true, nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return false, nil
	}
	if s.skipping {
		return false, nil
	}
	err = s.extended(msg)
	if err != nil && !errors.Is(err, executor.ErrLost) {
		s.fail(err)
		s.skipping = true
		err = nil
	}
	return false, err
}

func (s *Session) ready() {
	if s.exec.Block() == 'I' {
		clear(s.portals)
	}
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: s.exec.Block()})
}

// fail sends an error and moves the transaction to its failed state.
func (s *Session) fail(err error) {
	resp := &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "XX000", Message: err.Error()}
	var e *rows.Error
	if errors.As(err, &e) {
		resp.Code, resp.Message = e.Code, e.Message
	}
	// A statement that the end of the session cancelled is answered as
	// PostgreSQL does when an administrator stops the server.
	if resp.Code == "57014" && s.ctx.Err() != nil {
		resp.Severity, resp.SeverityUnlocalized = "FATAL", "FATAL"
		resp.Code, resp.Message = "57P01", "terminating connection due to administrator command"
	}
	s.be.Send(resp)
	s.exec.Fail()
}
