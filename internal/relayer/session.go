package relayer

import (
	"context"
	"errors"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/charger"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/concluder"
	"marigoldhub.example/hub/internal/framer"
	"marigoldhub.example/hub/internal/preparer"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/rewriter"
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
	parser     translator.Parser
	requestKey string // marigold.request_key
	// startupStatements must be run on a server connection before any other
	// statement of the session.
	startupStatements []string

	// retainer keeps the server connection that the session retains between batches.
	retainer *retainer.Retainer
	// flushed is the exchange that awaits Sync, if retainer knows of one.
	flushed *runner.Exchange
	// runner runs batches, and concluder decides what their answers mean.
	runner    *runner.Runner
	concluder *concluder.Concluder
	// quota is charged for the present operation.
	quota *charger.Charger
	// out is the output to the caller.
	out *responder.Output
}

// NewSession returns a session that [Session.Run] serves. It fails if the token
// is not valid or there are too many settings.
func (r *Relayer) NewSession(a AuthenticatedConn) (*Session, error) {
	g := r.group(a.Group)
	s := &Session{
		Terminator: terminator.New(), r: r, conn: a.Conn, in: a.Inbound, caller: a.Caller, parser: translator.Parser{Classifier: r.deps.Classifier, Keys: rewriter.Keys(a.Caller.Name)}, groupName: a.Group, group: g.Group, certifier: g.certifier,
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
	s.retainer = retainer.New(retainer.Config{Pins: &r.pins, Caller: a.Caller.Name, Limit: a.Caller.PinnedLimit, EndUse: s.acquirer.EndUse})
	s.runner = runner.New(runner.Config{
		Group: a.Group, Caller: a.Caller.Name, Output: s.out, Acquirer: s.acquirer, Retainer: s.retainer, Charger: s.quota, Certifier: s.certifier,
		Views: r.deps.Views, Statements: &s.stmts, Parser: s.parser, Disconnected: s.reader.Disconnected(),
		ResponseBufferLimit: r.cfg.ResponseBufferLimit, BatchLimit: r.cfg.BatchLimit, Clock: r.clock, Log: r.log,
	})
	s.concluder = concluder.New(concluder.Config{
		Group: a.Group, Caller: a.Caller.Name, Output: s.out, Acquirer: s.acquirer, Retainer: s.retainer, Certifier: s.certifier,
		Minimum: &s.minimum, Keys: s.parser.Keys, Tokener: r.deps.Tokener, Clock: r.clock, Commits: r.counts.commits,
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

func (s *Session) finish() {
	s.cancel()
	_ = s.conn.Close()
	s.acquirer.SetRunning(nil)
	s.retainer.Return()
	s.acquirer.Close()
	s.acquirer.EndUse()
	s.quota.Settle(true)
	s.in.Interrupt()
	<-s.reader.Done()
	s.in.Close()
}

// ready ends the answer to a batch with ReadyForQuery.
func (s *Session) ready() error {
	s.out.Send(&pgproto3.ReadyForQuery{TxStatus: s.retainer.Status()})
	return s.out.Flush()
}

// holdsServerConn reports whether the session uses or retains a server connection.
func (s *Session) holdsServerConn() bool { return s.acquirer.IsRunning() || s.retainer.Conn() != nil }
