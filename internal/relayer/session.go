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
	"marigoldhub.example/hub/internal/concluder"
	"marigoldhub.example/hub/internal/director"
	"marigoldhub.example/hub/internal/framer"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/replier"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/runner"
	"marigoldhub.example/hub/internal/terminator"
	"marigoldhub.example/hub/internal/translator"
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

// Session serves one caller connection. All methods but Run may be called while Run runs.
type Session struct {
	// terminator ends the session.
	terminator *terminator.Terminator
	r          *Relayer
	conn       net.Conn
	in         *framer.Inbound
	caller     checker.Caller
	groupName  string
	group      *acquirer.Group

	ctx    context.Context
	cancel context.CancelFunc

	// reader reads the caller's batches, and out takes their answers.
	reader *batcher.Reader
	out    *responder.Output
	// acquirer acquires server connections and cancels what runs on them.
	acquirer *acquirer.Acquirer

	// certifier confirms for the group; minimum is what a replica must have applied before it
	// may answer a read of this session.
	certifier *certifier.Certifier
	minimum   certifier.Minimum

	stmts  preparer.Set
	parser translator.Parser
	// startupStatements must be run on a server connection before any other
	// statement of the session.
	startupStatements []string

	// retainer keeps the server connection that the session retains between batches.
	retainer *retainer.Retainer
	// director decides where batches run, runner runs them, and concluder decides what their
	// answers mean.
	director  *director.Director
	runner    *runner.Runner
	concluder *concluder.Concluder
	// replier answers what needs no server.
	replier *replier.Replier
	// quota is charged for the present operation.
	quota *charger.Charger
}

// Cancel asks the server to cancel the statement that the session runs, and
// ends a wait for a server connection. Otherwise it does nothing.
func (s *Session) Cancel(ctx context.Context) error { return s.acquirer.Cancel(ctx) }

// Drain ends the session with 57P01 as soon as it is idle.
func (s *Session) Drain() { s.terminator.Drain() }

// Displace ends the session like Drain, in favor of a new connection.
func (s *Session) Displace() { s.terminator.Displace() }

// Expire ends the session as soon as no statement is running, even inside a
// transaction, which is then rolled back.
func (s *Session) Expire() { s.terminator.Expire() }

// Revoke ends the session before it runs another request, because the caller may no
// longer use it. An open transaction is rolled back. A request that runs is answered.
func (s *Session) Revoke() { s.terminator.Revoke() }

// IdleSince returns since when the session has been idle; the zero time if it is not.
func (s *Session) IdleSince() time.Time { return s.terminator.IdleSince() }

// Run serves the caller until the connection ends.
func (s *Session) Run() {
	defer s.finish()
	go s.reader.Run(s.ctx)
	for {
		b, err := s.nextBatch()
		if err == nil {
			err = s.terminator.RequestError()
		}
		if err == nil {
			err = s.serve(b)
		}
		var fatal *terminator.FatalError
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
	awaitsSync := s.retainer.AwaitsSync()
	return s.reader.Next(batcher.State{
		IsIdle:        !s.retainer.InTransaction() && !awaitsSync,
		InTransaction: s.retainer.Transaction().IsOpen || awaitsSync,
		AwaitsSync:    awaitsSync,
	})
}

// handleDisconnect cancels what runs for a caller that has disconnected.
func (s *Session) handleDisconnect() {
	s.cancel()
	s.acquirer.CancelRunning()
}

// finish gives back all that the session holds, also if a part of this panics.
func (s *Session) finish() {
	defer s.in.Close()
	defer func() {
		s.in.Interrupt()
		<-s.reader.Done()
	}()
	defer s.quota.Settle(true)
	defer s.acquirer.EndUse()
	defer s.acquirer.Close()
	s.cancel()
	_ = s.conn.Close()
	s.acquirer.SetRunning(nil)
	s.retainer.Return()
}

// ready ends the answer to a batch with ReadyForQuery.
func (s *Session) ready() error {
	s.out.Send(&pgproto3.ReadyForQuery{TxStatus: s.retainer.Status()})
	return s.out.Flush()
}

// holdsServerConn reports whether the session uses or retains a server connection.
func (s *Session) holdsServerConn() bool { return s.acquirer.IsRunning() || s.retainer.Conn() != nil }
