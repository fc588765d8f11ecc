package session

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/standin/server/node"
	"marigoldhub.example/hub/standin/server/rows"
)

// errLost ends a connection whose answer is lost on purpose.
var errLost = errors.New("answer lost")

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

	user, database string

	// mu is held while a message is processed, and by the rollback after a
	// fence.
	mu         sync.Mutex
	db         *rows.Conn
	statements map[string]*prepared
	portals    map[string]*portal
	plans      map[string]plan
	skipping   bool
	vars       map[string]string
	temps      map[string]bool
	transaction
	// sent are called when the answers so far have been sent.
	sent []func()

	runMu sync.Mutex
	stop  context.CancelFunc
}

// transaction is the transaction state of a session.
type transaction struct {
	// block is the status of ReadyForQuery: 'I', 'T' or 'E'.
	block byte
	// killed is set when a fence ended the transaction.
	killed   bool
	readOnly bool
	snapshot bool
	// reading is set while a snapshot is open on the row store.
	reading    bool
	write      *node.WriteTx
	savepoints []savepoint
	// locals are the settings of SET LOCAL, saved the settings before the
	// block.
	locals map[string]string
	saved  map[string]string
}

type savepoint struct {
	name string
	mark int
}

// Serve serves one client connection to its end.
func Serve(ctx context.Context, cfg *Config, conn net.Conn) {
	s := &Session{
		cfg:        cfg,
		conn:       conn,
		raw:        conn,
		be:         pgproto3.NewBackend(conn, conn),
		statements: map[string]*prepared{},
		portals:    map[string]*portal{},
		plans:      map[string]plan{},
		vars:       maps.Clone(defaults),
		temps:      map[string]bool{},
	}
	s.block = 'I'
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
	s.mu.Lock()
	s.rollback()
	if s.db != nil {
		s.db.Close()
	}
	s.mu.Unlock()
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
		s.mu.Lock()
		flush, err := s.handle(msg)
		s.mu.Unlock()
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
		for _, f := range s.sent {
			f()
		}
		s.sent = nil
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
		err := s.endImplicit()
		if err != nil && !errors.Is(err, errLost) {
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
	if err != nil && !errors.Is(err, errLost) {
		s.fail(err)
		s.skipping = true
		err = nil
	}
	return false, err
}

func (s *Session) ready() {
	if s.block == 'I' {
		clear(s.portals)
	}
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: s.block})
}

// fail sends an error and moves the transaction to its failed state.
func (s *Session) fail(err error) {
	resp := &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: "XX000", Message: err.Error()}
	var e *rows.Error
	if errors.As(err, &e) {
		resp.Code, resp.Message = e.Code, e.Message
	}
	s.be.Send(resp)
	s.failTransaction()
}

// begin starts the context of one statement, which interrupt cancels.
func (s *Session) begin() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.runMu.Lock()
	s.stop = cancel
	s.runMu.Unlock()
	return ctx, func() {
		s.runMu.Lock()
		s.stop = nil
		s.runMu.Unlock()
		cancel()
	}
}

// interrupt cancels the running statement, if any.
func (s *Session) interrupt() {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	if s.stop != nil {
		s.stop()
	}
}
