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
	"marigoldhub.example/hub/internal/framer"
	"marigoldhub.example/hub/internal/guarder"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/tracker"
)

// AuthenticatedConn is the connection of a caller after authentication.
type AuthenticatedConn struct {
	Conn net.Conn
	// Backend reads from Conn. It has read everything up to the end of
	// authentication.
	Backend *pgproto3.Backend
	// Inbound is what Backend reads from. If it is nil, memory is not limited.
	Inbound *framer.Inbound
	Caller  checker.Caller
	// Group is the name of the caller's database group.
	Group string
	// Settings are session settings of the startup message that the server
	// connection must have. They pin it.
	Settings map[string]string
	// Token is the session token that the caller presented, if any.
	Token string
}

// Session serves one caller connection. Cancel, Drain, Expire, Revoke and Idle may be
// called while Run runs.
type Session struct {
	r       *Relayer
	conn    net.Conn
	backend *pgproto3.Backend
	in      *framer.Inbound
	caller  checker.Caller
	// team is the caller's team; empty if it has none.
	team      string
	groupName string
	group     *group

	ctx          context.Context
	cancel       context.CancelFunc
	incoming     chan callerMessage
	disconnected chan struct{} // closed when the caller disconnects or terminates
	draining     chan struct{} // closed by Drain
	expired      chan struct{} // closed by Expire
	once         struct{ drain, expire sync.Once }
	readDone     chan struct{} // closed when nothing is read any more
	// idleSince is the Unix time in nanoseconds since when the session has been idle; 0
	// while it is not.
	idleSince atomic.Int64
	revoked   atomic.Bool // set by Revoke
	displaced atomic.Bool // set by Displace

	// mu guards running and cancelAcquire. It is held while a cancel request is
	// sent, until the server has received it.
	mu            sync.Mutex
	running       pooler.Conn        // receives cancel requests
	cancelAcquire context.CancelFunc // ends the wait for a connection

	// minPosition is the position that a replica must have applied before it
	// may answer a read of this session.
	minPosition    tracker.Position
	minPositionSet bool
	// minPositionAt is when minPosition was confirmed; zero if it comes from a
	// token.
	minPositionAt   time.Time
	previousReplica string // replica that served the last read

	stmts      preparer.Set
	portals    map[string]*classifier.Result
	requestKey string // marigold.request_key
	// startupStatements must be run on a server connection before any other
	// statement of the session.
	startupStatements []string

	retained retainedConn
	// taken are the server connections that the session holds, the retained one included.
	taken []*takenConn
	// exchanging is set while an exchange runs. After a panic inside one it stays set: the
	// answer on the server connection has not been read to its end.
	exchanging bool
	// pinReserved is set while a batch that pins its connection runs.
	pinReserved bool
	// inFlight is set while the session counts as in flight on the primary.
	inFlight bool
	// txLost is set while the caller's transaction has failed and has no server
	// connection any more.
	txLost bool
	// endOnError is set when a pinned connection, and with it state of the
	// session, was lost. The next error ends the session.
	endOnError bool
	// quota is the present operation in the quota of the team.
	quota quotaUse
	// out is the output to the caller.
	out *responder.Output
	// batchTaken is set while a batch holds memory.
	batchTaken bool
}

// retainedConn is the server connection that the session retains between
// batches.
type retainedConn struct {
	conn   pooler.Conn
	pinned bool
	// discardAfterTx is set when the connection must be closed after the
	// transaction.
	discardAfterTx bool
	tx             txState
	// openExchange is an exchange whose batch ended with Flush and that awaits
	// Sync.
	openExchange *exchange
}

// txState is the state of the open transaction.
type txState struct {
	active bool
	failed bool
	// evidence is what the answers to its statements prove.
	evidence resolver.Evidence
	// readOnly is set when the caller asked for a read-only transaction.
	readOnly bool
}

// NewSession returns a session that [Session.Run] serves. It fails if the token
// is not valid or there are too many settings.
func (r *Relayer) NewSession(a AuthenticatedConn) (*Session, error) {
	s := &Session{
		r: r, conn: a.Conn, backend: a.Backend, in: a.Inbound, caller: a.Caller, groupName: a.Group, group: r.group(a.Group),
		incoming: make(chan callerMessage), disconnected: make(chan struct{}), draining: make(chan struct{}), expired: make(chan struct{}), readDone: make(chan struct{}),
	}
	if team, ok := checker.TeamOfUser(a.Caller.Name); ok {
		s.team = team
	}
	var err error
	if s.startupStatements, err = startupStatements(a.Settings); err != nil {
		return nil, err
	}
	if a.Token != "" {
		p, err := r.deps.Tokener.Verify(a.Caller.Name, a.Group, a.Token)
		if err != nil {
			return nil, err
		}
		s.minPosition, s.minPositionSet = p, true
	}
	s.out = responder.New(responder.Config{
		Conn: a.Conn, Inbound: a.Inbound, WriteWait: r.cfg.WriteWait,
		HoldsServer: s.holdsServerConn, IsStarved: func() bool { return s.group.starved.Load() > 0 },
	})
	s.backend.SetMaxBodyLen(r.cfg.MessageLimit)
	s.in.Start(r.cfg.MessageLimit)
	s.stmts.Keep = s.in.Keep
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Drain ends the session with 57P01 as soon as it is idle.
func (s *Session) Drain() { s.once.drain.Do(func() { close(s.draining) }) }

// Displace ends the session like Drain, in favor of a new connection.
func (s *Session) Displace() {
	s.displaced.Store(true)
	s.Drain()
}

// Expire ends the session as soon as no statement is running, even inside a
// transaction, which is then rolled back.
func (s *Session) Expire() {
	s.Drain()
	s.once.expire.Do(func() { close(s.expired) })
}

// Revoke ends the session before it runs another request, because the caller may no
// longer use it. An open transaction is rolled back. A request that runs is answered.
func (s *Session) Revoke() {
	s.revoked.Store(true)
	s.Expire()
}

// Idle reports whether the session waits for the caller's next request, with no
// transaction open.
func (s *Session) Idle() bool { return s.idleSince.Load() != 0 }

// IdleSince returns since when the session has been idle; the zero time if it is not.
func (s *Session) IdleSince() time.Time {
	if nanos := s.idleSince.Load(); nanos != 0 {
		return time.Unix(0, nanos)
	}
	return time.Time{}
}

// Cancel asks the server to cancel the statement that the session runs, and
// ends a wait for a server connection. Otherwise it does nothing.
func (s *Session) Cancel(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelAcquire != nil {
		s.cancelAcquire()
	}
	if s.running == nil {
		return nil
	}
	return s.running.Cancel(ctx)
}

// cancelTimeout bounds the time for sending a cancel request to the server.
const cancelTimeout = 2 * time.Second

// Run serves the caller until the connection ends.
func (s *Session) Run() {
	defer s.finish()
	go func() {
		defer close(s.readDone)
		defer guarder.Recover(s.r.log, "messages of a caller")
		ended := false
		defer func() {
			if !ended {
				s.handleDisconnect()
			}
		}()
		s.readLoop()
		ended = true
	}()
	for {
		b, err := s.nextBatch()
		if err == nil && s.revoked.Load() {
			err = responder.Fatal(resolver.CodeInvalidLogin, "request was not run: "+revokedText)
		}
		if err == nil {
			err = s.serve(b)
		}
		var fatal *responder.FatalError
		if errors.As(err, &fatal) {
			s.out.Send(fatal.Response)
			_ = s.out.Flush()
		}
		if err != nil {
			return
		}
	}
}

// endError returns why the session ends that was told to; a drained one ends only
// outside transactions.
func (s *Session) endError(expired bool) error {
	inTransaction := s.retained.tx.active || s.retained.openExchange != nil
	switch {
	case s.revoked.Load() && inTransaction:
		return responder.Fatal(resolver.CodeInvalidLogin, "transaction was not run: "+revokedText)
	case s.revoked.Load():
		return responder.Fatal(resolver.CodeInvalidLogin, revokedText)
	case expired && inTransaction:
		return responder.Fatal(resolver.CodeNotRun, "transaction was not run: this proxy is shutting down")
	}
	if s.displaced.Load() {
		return responder.Fatal(resolver.CodeShutdown, "this idle session ended in favor of a new connection, connect again")
	}
	return responder.Fatal(resolver.CodeShutdown, "this proxy is shutting down, connect again")
}

const revokedText = "the access of this connection was withdrawn"

func (s *Session) finish() {
	s.cancel()
	_ = s.conn.Close()
	s.setRunning(nil)
	s.returnRetained()
	s.discardTaken()
	s.endPrimaryUse()
	s.quota.settle(true)
	s.in.Interrupt()
	<-s.readDone
	s.in.Close()
}

// setRunning sets the server connection that cancel requests are for. It waits
// for a cancel request in progress.
func (s *Session) setRunning(c pooler.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = c
}

// discardRetained discards the server connection that the session retains, if
// any.
func (s *Session) discardRetained() {
	if s.retained.conn == nil {
		return
	}
	s.endOnError = s.endOnError || s.retained.pinned
	s.retained.conn.Discard()
	s.clearRetained()
}

// returnRetained gives the server connection that the session retains back at its end. An
// open transaction is rolled back first: a new connection costs the server more, and callers
// that leave in transactions would take all connections from others. A connection with state
// of the session, or in the middle of an answer, is discarded.
func (s *Session) returnRetained() {
	r := s.retained
	if r.conn == nil {
		return
	}
	if s.exchanging || r.pinned || r.discardAfterTx || r.openExchange != nil || !rollBack(r.conn) {
		s.discardRetained()
		return
	}
	r.conn.Release()
	s.clearRetained()
}

// rollBackTimeout is how long a server may take to roll back for a caller that has gone.
const rollBackTimeout = 500 * time.Millisecond

// rollBack ends the transaction of a connection and reports whether the server has answered
// the ROLLBACK, and that no transaction is open.
func rollBack(c pooler.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(rollBackTimeout))
	c.Send(&pgproto3.Query{String: "ROLLBACK"})
	if err := c.Flush(); err != nil {
		return false
	}
	rolledBack := false
	for {
		msg, err := c.Receive()
		if err != nil {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.CommandComplete:
			rolledBack = string(m.CommandTag) == "ROLLBACK"
		case *pgproto3.ReadyForQuery:
			return rolledBack && m.TxStatus == 'I'
		}
	}
}

// clearRetained resets the state of a connection that was released or
// discarded.
func (s *Session) clearRetained() {
	if s.retained.pinned {
		s.r.releasePin(s.caller.Name)
	}
	s.endPrimaryUse()
	s.retained = retainedConn{}
	s.portals = nil
}

// endPrimaryUse ends what beginPrimaryUse began.
func (s *Session) endPrimaryUse() {
	if s.inFlight {
		s.inFlight = false
		s.group.inFlight.Add(-1)
	}
}

// status returns the transaction status for ReadyForQuery.
func (s *Session) status() byte {
	switch {
	case s.txLost:
		return 'E'
	case s.retained.tx.failed:
		return 'E'
	case s.retained.tx.active:
		return 'T'
	}
	return 'I'
}

// ready ends the answer to a batch with ReadyForQuery.
func (s *Session) ready() error {
	s.out.Send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	return s.out.Flush()
}

// holdsServerConn reports whether the session uses or retains a server connection.
func (s *Session) holdsServerConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running != nil || s.retained.conn != nil
}
