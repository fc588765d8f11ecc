package relayer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

// AuthenticatedConn is an authenticated caller connection.
type AuthenticatedConn struct {
	Conn net.Conn
	// Backend has read everything up to the end of authentication.
	Backend *pgproto3.Backend
	Caller  checker.Caller
	Group   string
	// Settings are session settings of the startup message that a server
	// connection must have. They pin one.
	Settings map[string]string
	// Token is the session token that the caller presented, if any.
	Token string
}

// Session serves one caller connection.
type Session struct {
	r      *Relayer
	conn   net.Conn
	back   *pgproto3.Backend
	caller checker.Caller
	name   string
	group  *group

	ctx      context.Context
	cancel   context.CancelFunc
	incoming chan input
	gone     chan struct{} // closed when the caller vanished
	draining chan struct{}
	expired  chan struct{}
	once     struct{ drain, expire sync.Once }
	idle     atomic.Bool

	// mu is held while a cancel request reaches the server.
	mu       sync.Mutex
	running  pooler.Conn
	canceler context.CancelFunc // ends the wait for a connection

	floor    tracker.Position
	floorSet bool
	// floorAt is when the floor was confirmed; zero for a floor from a token.
	floorAt  time.Time
	previous string // replica that served the last read

	stmts   preparer.Set
	portals map[string]*classifier.Result
	key     string // marigold.request_key
	// settings are statements that a server connection must run first.
	settings []string

	held held
	// pinReserved is set while a batch that pins its connection runs.
	pinReserved bool
	// counted is set while the session counts as in flight on the primary.
	counted bool
	// lost is set while the caller's transaction has failed and no server
	// connection backs it.
	lost bool
	// ending is set when settings of the session were lost with its pinned
	// connection. The next error is its last answer.
	ending bool
	out    []byte
}

// held is the server connection that stays with the session between batches.
type held struct {
	conn   pooler.Conn
	pinned bool
	// stale is set when the connection must be closed after the transaction.
	stale bool
	tx    txState
	// open is an extended batch that was flushed and awaits Sync.
	open *exchange
}

// txState describes the open transaction.
type txState struct {
	active bool
	failed bool
	// evidence is what the answers of its statements prove.
	evidence resolver.Evidence
	// readOnly is set when the caller asked for a read-only transaction.
	readOnly bool
}

// NewSession returns a session. It fails when the token or the settings are not
// valid.
func (r *Relayer) NewSession(a AuthenticatedConn) (*Session, error) {
	s := &Session{
		r: r, conn: a.Conn, back: a.Backend, caller: a.Caller, name: a.Group, group: r.group(a.Group),
		incoming: make(chan input), gone: make(chan struct{}), draining: make(chan struct{}), expired: make(chan struct{}),
	}
	var err error
	if s.settings, err = startupStatements(a.Settings); err != nil {
		return nil, err
	}
	if a.Token != "" {
		p, err := r.parts.Tokener.Verify(a.Caller.Name, a.Group, a.Token)
		if err != nil {
			return nil, err
		}
		s.floor, s.floorSet = p, true
	}
	s.back.SetMaxBodyLen(r.cfg.MessageLimit)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Drain ends the session with 57P01 as soon as it is idle.
func (s *Session) Drain() { s.once.drain.Do(func() { close(s.draining) }) }

// Expire ends the session as soon as no statement is running, also inside a
// transaction, which then has not run.
func (s *Session) Expire() {
	s.Drain()
	s.once.expire.Do(func() { close(s.expired) })
}

// Idle reports whether the session waits for the caller's next request.
func (s *Session) Idle() bool { return s.idle.Load() }

// Cancel asks the server to cancel the statement that the session runs. It
// does nothing when no statement runs.
func (s *Session) Cancel(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.canceler != nil {
		s.canceler()
	}
	if s.running == nil {
		return nil
	}
	return s.running.Cancel(ctx)
}

// cancelWait bounds the delivery of a cancel request to the server.
const cancelWait = 2 * time.Second

// errClosed ends a session whose caller is gone or has terminated.
var errClosed = errors.New("caller connection is closed")

// Run serves the caller until the connection ends.
func (s *Session) Run() {
	defer s.finish()
	go s.readLoop()
	for {
		b, err := s.nextBatch()
		if err == nil {
			err = s.serve(b)
		}
		var fatal *fatalError
		if errors.As(err, &fatal) {
			s.send(fatal.response)
			_ = s.flush()
		}
		if err != nil {
			return
		}
	}
}

func (s *Session) finish() {
	s.cancel()
	_ = s.conn.Close()
	s.setRunning(nil)
	s.dropHeld()
}

// fatalError ends the session with a FATAL response.
type fatalError struct{ response *pgproto3.ErrorResponse }

func (e *fatalError) Error() string { return e.response.Message }

func fatal(code, message string) error { return &fatalError{resolver.Fatal(code, message)} }

// setRunning tells which server connection a cancel request reaches. It
// returns after a cancel request in progress.
func (s *Session) setRunning(c pooler.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = c
}

// dropHeld discards the server connection that the session keeps, if any.
func (s *Session) dropHeld() {
	if s.held.conn == nil {
		return
	}
	s.ending = s.ending || s.held.pinned
	s.held.conn.Discard()
	s.forgetHeld()
}

// forgetHeld clears the marks of a connection that was released or discarded.
func (s *Session) forgetHeld() {
	if s.held.pinned {
		s.r.unpin(s.caller.Name)
	}
	s.leavePrimary()
	s.held = held{}
	s.portals = nil
}

// leavePrimary ends what enterPrimary began.
func (s *Session) leavePrimary() {
	if s.counted {
		s.counted = false
		s.group.primary.Add(-1)
	}
}

// status is the transaction status reported in ReadyForQuery.
func (s *Session) status() byte {
	switch {
	case s.lost:
		return 'E'
	case s.held.tx.failed:
		return 'E'
	case s.held.tx.active:
		return 'T'
	}
	return 'I'
}

// flushSize is the amount of buffered output that is written at once.
const flushSize = 16 << 10

// keepSize is the largest output buffer that an idle session keeps.
const keepSize = 1 << 10

func (s *Session) send(msgs ...pgproto3.BackendMessage) {
	for _, m := range msgs {
		s.out = encode(s.out, m)
	}
}

// flush writes the buffered output to the caller.
func (s *Session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.r.cfg.WriteWait))
	_, err := s.conn.Write(s.out)
	if cap(s.out) > keepSize {
		s.out = nil
	}
	s.out = s.out[:0]
	if err != nil {
		return errClosed
	}
	return nil
}

// ready ends the answer to a batch.
func (s *Session) ready() error {
	s.send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	return s.flush()
}

func encode(b []byte, m pgproto3.BackendMessage) []byte {
	encoded, err := m.Encode(b)
	if err != nil {
		return b // only messages of more than 1 GB fail
	}
	return encoded
}
