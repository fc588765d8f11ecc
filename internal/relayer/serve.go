package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/batcher"
	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/planner"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/rewriter"
	"marigoldhub.example/hub/internal/terminator"
)

// serve runs one batch and answers it.
func (s *Session) serve(b *batcher.Batch) error {
	defer s.settleQuota()
	if s.retainer.AwaitsSync() {
		return s.continueFlushed(b)
	}
	if b.Unsupported != nil {
		return s.refuse(b, b.Unsupported)
	}
	s.r.counts.batches.Inc(1)
	defer s.retainer.SettlePin()
	p := s.plan(b)
	local, mixed := p.AnsweredByProxy()
	switch {
	case p.Refusal != nil:
		return s.refuse(b, p.Refusal)
	case mixed:
		return s.refuse(b, resolver.Error(resolver.CodeNotSupported,
			"marigold settings, DISCARD and DEALLOCATE cannot be combined with other statements in one batch", ""))
	case !p.NeedsServer:
		s.replier.ReplyClosed(b)
		return s.reply(b, nil)
	case s.retainer.HasLostTransaction():
		return s.serveLostTx(b, p)
	case local:
		return s.reply(b, s.replier.Reply(b))
	case s.retainer.Conn() == nil && b.Query != nil && len(p.Executed) == 0:
		// Drivers use empty queries to check connections; they need no server.
		s.out.Send(&pgproto3.EmptyQueryResponse{})
		return s.ready()
	}
	if err := s.quota.Admit(p.Executed, b.Flushed); err != nil {
		return s.refuse(b, err)
	}
	if len(s.startupStatements) > 0 && s.retainer.Conn() == nil {
		if err := s.applySettings(); err != nil {
			return err
		}
	}
	if err := rewriter.CheckSettings(p.Executed, s.retainer.Transaction().IsOpen); err != nil {
		return s.refuse(b, err)
	}
	if err := s.checkPin(p); err != nil {
		return s.refuse(b, err)
	}
	failure, err := s.director.Run(b, p)
	if err != nil {
		return err
	}
	return s.reply(b, failure)
}

// serveLostTx answers a batch of a caller whose transaction has failed and no
// longer has a server connection. Only the end of the transaction is accepted.
func (s *Session) serveLostTx(b *batcher.Batch, p *planner.Plan) error {
	if !endsTransaction(p.Executed) || !endsTransaction(p.Parsed) {
		return s.fail(b, resolver.Error(resolver.CodeFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block", ""))
	}
	s.retainer.SetLostTransaction(len(p.Executed) == 0)
	return s.reply(b, s.replier.ReplyRollback(b))
}

func endsTransaction(list []classifier.Statement) bool {
	for _, st := range list {
		if st.Kind != classifier.Commit && st.Kind != classifier.Rollback {
			return false
		}
	}
	return true
}

// checkPin refuses a batch that would pin more server connections than the
// caller may.
func (s *Session) checkPin(p *planner.Plan) *pgproto3.ErrorResponse {
	if !p.Pins() || s.retainer.ReservePin() {
		return nil
	}
	return resolver.Error(resolver.CodeTooManyConnections,
		"caller may not pin more server connections", "Session settings, LISTEN, advisory locks and temporary tables pin a server connection.")
}

// continueFlushed runs the next batch of an exchange that awaits Sync.
func (s *Session) continueFlushed(b *batcher.Batch) error {
	p := s.plan(b)
	if p.Refusal == nil {
		return s.reply(b, s.director.Continue(b, p))
	}
	s.director.Abandon()
	if p.Refusal.Code == resolver.CodeNotSupported {
		p.Refusal.Hint = "The batch was rolled back."
	}
	return s.fail(b, p.Refusal)
}

// settleQuota ends the session's operation unless a transaction, or a batch that awaits
// Sync, goes on.
func (s *Session) settleQuota() {
	s.quota.Settle(!s.retainer.InTransaction() && !s.retainer.AwaitsSync())
}

// reply ends the answer to a batch, whose responses are in the output unless it has failed.
func (s *Session) reply(b *batcher.Batch, failure *pgproto3.ErrorResponse) error {
	switch {
	case failure != nil:
		return s.fail(b, failure)
	case b.Flushed:
		return s.out.Flush()
	}
	return s.ready()
}

// refuse answers a batch with an error without running it. An open transaction
// fails, as it would on a server.
func (s *Session) refuse(b *batcher.Batch, e *pgproto3.ErrorResponse) error {
	if s.retainer.Transaction().IsOpen {
		s.retainer.FailTransaction()
	}
	return s.fail(b, e)
}

// fail answers a batch with an error.
func (s *Session) fail(b *batcher.Batch, e *pgproto3.ErrorResponse) error {
	switch e.Code {
	case resolver.CodeNotRun:
		s.r.counts.notRun.Inc(1)
	case resolver.CodeUnknown:
		s.r.counts.unknown.Inc(1)
		s.r.deps.Recorder.Record("relayer", "outcome_unknown", s.groupName, "caller", s.caller.Name)
		// The commit may have happened at a position above the minimum.
		s.minimum = s.minimum.WithUnknownCommit()
	}
	if s.retainer.EndsOnError() {
		return s.end(e)
	}
	s.out.Send(e)
	if b.Flushed {
		if err := s.out.Flush(); err != nil {
			return err
		}
		return s.skipToSync()
	}
	return s.ready()
}

// end sends the last error of a session, as FATAL.
func (s *Session) end(e *pgproto3.ErrorResponse) error {
	e.Severity, e.SeverityUnlocalized = "FATAL", "FATAL"
	s.out.Send(e)
	if err := s.out.Flush(); err != nil {
		return err
	}
	return terminator.ErrClosed
}

// skipToSync drops messages up to Sync, as a server does after an error, and
// answers the Sync.
func (s *Session) skipToSync() error {
	for {
		b, err := s.nextBatch()
		if err != nil {
			return err
		}
		if b.Query != nil {
			return terminator.Fatal(resolver.CodeProtocolViolation, "simple query inside an extended-protocol batch")
		}
		if !b.Flushed {
			return s.ready()
		}
	}
}
