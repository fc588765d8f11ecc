package relayer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/framer"
	"marigoldhub.example/hub/internal/pooler"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/rewriter"
	"marigoldhub.example/hub/internal/terminator"
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
	// Terminator ends the session.
	*terminator.Terminator
	r    *Relayer
	conn net.Conn
	in   *framer.Inbound
	// reader reads the caller's batches.
	reader    *batcher.Reader
	caller    checker.Caller
	groupName string
	group     *acquirer.Group
	// acquirer acquires server connections and cancels what runs on them.
	acquirer *acquirer.Acquirer

	ctx    context.Context
	cancel context.CancelFunc

	// certifier confirms for the group; minimum is what a replica must have applied before it
	// may answer a read of this session.
	certifier       *certifier.Certifier
	minimum         certifier.Minimum
	previousReplica string // replica that served the last read

	stmts      preparer.Set
	portals    map[string]*classifier.Result
	keys       rewriter.Keys
	requestKey string // marigold.request_key
	// startupStatements must be run on a server connection before any other
	// statement of the session.
	startupStatements []string

	retained retainedConn
	// exchanging is set while an exchange runs. After a panic inside one it stays set: the
	// answer on the server connection has not been read to its end.
	exchanging bool
	// pinReserved is set while a batch that pins its connection runs.
	pinReserved bool
	// txLost is set while the caller's transaction has failed and has no server
	// connection any more.
	txLost bool
	// endOnError is set when a pinned connection, and with it state of the
	// session, was lost. The next error ends the session.
	endOnError bool
	// quota is charged for the present operation.
	quota *charger.Charger
	// out is the output to the caller.
	out *responder.Output
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
	g := r.group(a.Group)
	s := &Session{
		Terminator: terminator.New(), r: r, conn: a.Conn, in: a.Inbound, caller: a.Caller, keys: rewriter.Keys(a.Caller.Name), groupName: a.Group, group: g.Group, certifier: g.certifier,
	}
	team, ok := checker.TeamOfUser(a.Caller.Name)
	if !ok {
		team = ""
	}
	s.quota = charger.New(charger.Config{Quotas: r.deps.Quotas, Team: team, Wait: r.cfg.PrimaryWait, Clock: r.clock, Refused: r.counts.overQuota})
	var err error
	if s.startupStatements, err = rewriter.StartupStatements(a.Settings); err != nil {
		return nil, err
	}
	if a.Token != "" {
		p, err := r.deps.Tokener.Verify(a.Caller.Name, a.Group, a.Token)
		if err != nil {
			return nil, err
		}
		s.minimum = certifier.Minimum{Position: p, IsSet: true}
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.out = responder.New(responder.Config{
		Conn: a.Conn, Inbound: a.Inbound, WriteWait: r.cfg.WriteWait,
		HoldsServer: s.holdsServerConn, IsStarved: s.group.IsStarved,
	})
	s.reader = batcher.New(batcher.Config{
		Backend: a.Backend, Inbound: a.Inbound, Limit: r.cfg.BatchLimit, Terminator: s.Terminator, OnDisconnect: s.handleDisconnect, Log: r.log,
	})
	s.acquirer = acquirer.New(acquirer.Config{
		Group: a.Group, Caller: a.Caller.Name, Shared: g.Group, Views: r.deps.Views, Pool: r.deps.Acquirer, Check: g.certifier.Check,
		Clock: r.clock, PrimaryWait: r.cfg.PrimaryWait, DrainWait: r.cfg.DrainWait,
		Conn: a.Conn, Disconnected: s.reader.Disconnected(), Context: s.ctx, Waits: r.counts.waitedForPrimary,
	})
	a.Backend.SetMaxBodyLen(r.cfg.MessageLimit)
	s.in.Start(r.cfg.MessageLimit)
	s.stmts.Keep = s.in.Keep
	return s, nil
}

// Cancel asks the server to cancel the statement that the session runs, and
// ends a wait for a server connection. Otherwise it does nothing.
func (s *Session) Cancel(ctx context.Context) error { return s.acquirer.Cancel(ctx) }

// Run serves the caller until the connection ends.
func (s *Session) Run() {
	defer s.finish()
	go s.reader.Run(s.ctx)
	for {
		b, err := s.nextBatch()
		if err == nil {
			err = s.RequestError()
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

// nextBatch reads the next batch.
func (s *Session) nextBatch() (*batcher.Batch, error) {
	awaitsSync := s.retained.openExchange != nil
	inTransaction := s.retained.tx.active || awaitsSync
	return s.reader.Next(batcher.State{IsIdle: !inTransaction && !s.txLost, InTransaction: inTransaction, AwaitsSync: awaitsSync})
}

// handleDisconnect cancels what runs for a caller that has disconnected.
func (s *Session) handleDisconnect() {
	s.cancel()
	s.acquirer.CancelRunning()
}

func (s *Session) finish() {
	s.cancel()
	_ = s.conn.Close()
	s.acquirer.SetRunning(nil)
	s.returnRetained()
	s.acquirer.Close()
	s.acquirer.EndUse()
	s.quota.Settle(true)
	s.in.Interrupt()
	<-s.reader.Done()
	s.in.Close()
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
	s.acquirer.EndUse()
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
	s.acquirer.EndUse()
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
	s.retained = retainedConn{}
	s.portals = nil
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
func (s *Session) holdsServerConn() bool { return s.acquirer.IsRunning() || s.retained.conn != nil }
