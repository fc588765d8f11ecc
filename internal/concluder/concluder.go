package concluder

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"marigoldhub.example/hub/internal/acquirer"
	"marigoldhub.example/hub/internal/certifier"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/responder"
	"marigoldhub.example/hub/internal/retainer"
	"marigoldhub.example/hub/internal/rewriter"
	"marigoldhub.example/hub/internal/runner"
	"marigoldhub.example/hub/internal/tokener"
	"marigoldhub.example/hub/internal/tracker"
)

// Config holds the parts of a session that its conclusions use.
type Config struct {
	// Group is the name of the database group, Caller that of the caller.
	Group, Caller string
	Output        *responder.Output
	Acquirer      *acquirer.Acquirer
	Retainer      *retainer.Retainer
	Certifier     *certifier.Certifier
	// Minimum is the session's minimum position. A confirmed commit raises it.
	Minimum *certifier.Minimum
	Keys    rewriter.Keys
	Tokener *tokener.Tokener
	Clock   clockwork.Clock
	// Commits counts confirmed commits.
	Commits metrics.Counter
}

// Concluder concludes the exchanges of one session.
type Concluder struct{ cfg Config }

// New returns a concluder.
func New(cfg Config) *Concluder { return &Concluder{cfg: cfg} }

// Verdict is the result of one run of a batch. It is zero when the whole
// answer is in the output buffer.
type Verdict struct {
	// Failure is the error for the caller instead of the answer.
	Failure *pgproto3.ErrorResponse
	// MayRetry is set with Failure when the batch may be run again.
	MayRetry bool
}

// Lost concludes an exchange whose server connection was lost.
func (c *Concluder) Lost(x *runner.Exchange, err error) Verdict {
	wasActive := c.cfg.Retainer.Transaction().IsOpen
	c.cfg.Retainer.Lose(x.Conn)
	if x.MayHaveCommitted() {
		return c.replaceAnswer(x, resolver.UnknownError(err.Error()), false)
	}
	if wasActive || (x.Plan.LeavesTransactionOpen && len(x.Plan.Executed) > 1) || x.PartlySent {
		c.cfg.Retainer.SetLostTransaction(wasActive || x.Plan.LeavesTransactionOpen)
		return c.replaceAnswer(x, resolver.NotRunError(err.Error()), false)
	}
	return c.replaceAnswer(x, resolver.NotRunError(err.Error()), true)
}

// replaceAnswer drops the buffered answer and returns an error in its place.
func (c *Concluder) replaceAnswer(x *runner.Exchange, failure *pgproto3.ErrorResponse, retry bool) Verdict {
	c.cfg.Output.Drop()
	return Verdict{Failure: failure, MayRetry: retry && !x.PartlySent}
}

// Conclude decides, after ReadyForQuery, what becomes of the connection and of
// the answer.
func (c *Concluder) Conclude(x *runner.Exchange, f *certifier.Fresh) Verdict {
	if x.KeyConflict != "" {
		return c.concludeKeyConflict(x)
	}
	if x.Status != 'I' && x.Committed {
		return c.Lost(x, runner.Lost("the batch committed and left a transaction open"))
	}
	if x.Status != 'I' {
		c.retainInTransaction(x)
		return c.concludeInTransaction(x)
	}
	confirm := x.NeedsConfirmation()
	if confirm && x.Row == nil {
		if err := x.AskStatus(); err != nil {
			return c.Lost(x, err)
		}
	}
	inTx := c.cfg.Retainer.Transaction().IsOpen
	c.cfg.Retainer.Finish(x.Conn, x.MustDiscard)
	defer c.cfg.Acquirer.EndUse()
	if confirm {
		return c.concludeConfirmed(x, f)
	}
	if x.Err != nil && !inTx && resolver.ProvesNotRun(x.Err) {
		x.RecordRefusal()
	}
	if x.Err != nil && !inTx && resolver.ProvesNotRun(x.Err) && !c.cfg.Retainer.IsPinned() {
		return c.replaceAnswer(x, resolver.NotRunError(x.Err.Message+" ("+x.Err.Code+")"), true)
	}
	return Verdict{}
}

// retainInTransaction retains the connection inside a transaction.
func (c *Concluder) retainInTransaction(x *runner.Exchange) {
	c.cfg.Retainer.KeepInTransaction(x.Conn, retainer.Transaction{
		IsOpen: true, HasFailed: x.Status == 'E', Evidence: x.Evidence,
		IsReadOnly: c.cfg.Retainer.Transaction().IsReadOnly || x.Plan.RequestsReadOnly, MustDiscard: x.MustDiscard,
	})
}

// concludeInTransaction fails the transaction if an error shows that the server
// no longer accepts writes, because the transaction could not commit.
func (c *Concluder) concludeInTransaction(x *runner.Exchange) Verdict {
	if x.Err == nil || x.Err.Code != resolver.CodeReadOnly || c.cfg.Retainer.IsPinned() {
		return Verdict{}
	}
	if c.cfg.Retainer.Transaction().IsReadOnly {
		return Verdict{}
	}
	c.cfg.Retainer.FailTransaction()
	return c.replaceAnswer(x, resolver.NotRunError("the primary is being replaced"), false)
}

// concludeConfirmed waits for the confirmation of a commit or a strict read.
func (c *Concluder) concludeConfirmed(x *runner.Exchange, f *certifier.Fresh) Verdict {
	commit := x.Evidence.ApplyTo(resolver.Commit{Lower: x.LowerBound, Upper: x.Row.Log})
	// A server that is not the primary may have returned old data. Only a proved
	// write shows that it was the primary when it ran the batch.
	if x.Row.Role != tracker.RolePrimary && x.Evidence != resolver.ProvedWrite {
		return c.concludeNotPrimary(x)
	}
	if !x.Plan.MayCommit && !x.Committed {
		return c.concludeStrictRead(x, f, commit)
	}
	fresh := x.Committed || x.Evidence != resolver.ProvedWrite
	res, err := c.cfg.Certifier.Confirm(x.Row.Log, fresh)
	if err != nil {
		if x.Evidence == resolver.ProvedReadOnly {
			return c.replaceAnswer(x, resolver.NotRunError("position was not confirmed: "+err.Error()), false)
		}
		return c.replaceAnswer(x, resolver.UnknownError("position "+x.Row.Log.String()+" was not confirmed: "+err.Error()), false)
	}
	switch commit.Resolve(res) {
	case resolver.Done:
		c.cfg.Commits.Inc(1)
		*c.cfg.Minimum = c.cfg.Minimum.WithCommit(x.Row.Log, c.cfg.Clock.Now())
		c.sendToken(x.Row.Log)
		return Verdict{}
	case resolver.NotRun:
		return c.replaceAnswer(x, resolver.NotRunError(fmt.Sprintf("term %d was replaced", x.Row.Log.Term)), !x.Plan.ExplicitTransaction)
	}
	return c.replaceAnswer(x, resolver.UnknownError(fmt.Sprintf("term %d was replaced", x.Row.Log.Term)), false)
}

// concludeNotPrimary answers a batch whose server, by its status row, is not the
// primary.
func (c *Concluder) concludeNotPrimary(x *runner.Exchange) Verdict {
	why := "backend server " + x.Conn.Server() + " is not the primary"
	if !x.Plan.MayCommit || x.Evidence == resolver.ProvedReadOnly {
		return c.replaceAnswer(x, resolver.NotRunError(why), !x.Plan.ExplicitTransaction)
	}
	return c.replaceAnswer(x, resolver.UnknownError(why), false)
}

func (c *Concluder) concludeStrictRead(x *runner.Exchange, f *certifier.Fresh, commit resolver.Commit) Verdict {
	if f == nil {
		f = c.cfg.Certifier.StartFresh()
	}
	res, err := c.cfg.Certifier.ConfirmRead(f, x.Row.Log)
	if err != nil {
		return c.replaceAnswer(x, resolver.NotRunError("position was not confirmed: "+err.Error()), false)
	}
	commit.ReadOnly = true
	if commit.Resolve(res) == resolver.Done {
		return Verdict{}
	}
	return c.replaceAnswer(x, resolver.NotRunError(fmt.Sprintf("term %d was replaced", x.Row.Log.Term)), true)
}

// sendToken sends the caller a session token with the position of its commit.
func (c *Concluder) sendToken(p tracker.Position) {
	token := c.cfg.Tokener.Sign(c.cfg.Caller, c.cfg.Group, p)
	if token != "" {
		c.cfg.Output.Send(&pgproto3.ParameterStatus{Name: tokener.Parameter, Value: token})
	}
}
