package concluder

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/rewriter"
	"marigoldhub.example/hub/internal/runner"
	"marigoldhub.example/hub/internal/tracker"
)

// keyRun is the run of the proxy's own statements on a request key.
type keyRun struct {
	cfg *Config
	x   *runner.Exchange
	// onPinned is set on a pinned connection.
	onPinned bool
}

// CloseKey closes a request key as not run, unless it exists already, and returns the outcome
// that holds from then on. It ends the use of the exchange's connection.
func (c *Concluder) CloseKey(x *runner.Exchange, key string) (string, *pgproto3.ErrorResponse) {
	k := keyRun{&c.cfg, x, false}
	return k.closeKey(key)
}

// concludeKeyConflict answers a request whose key exists already. The
// transaction is rolled back; the outcome stored for the key decides the answer.
func (c *Concluder) concludeKeyConflict(x *runner.Exchange) Verdict {
	c.cfg.Retainer.SetLostTransaction(true)
	defer c.cfg.Acquirer.EndUse()
	k := keyRun{&c.cfg, x, c.cfg.Retainer.IsPinned()}
	c.cfg.Retainer.EndTransaction()
	outcome, failure := k.rollBackAndReadOutcome()
	switch {
	case failure != nil:
		return c.replaceAnswer(x, failure, false)
	case outcome == rewriter.OutcomeDone:
		return c.replaceAnswer(x, resolver.Error(resolver.CodeAlreadyRan, "request already ran", "Its first run is done and survives."), false)
	}
	return c.replaceAnswer(x, resolver.NotRunError("its request key was closed as not run; a new request needs a new key"), false)
}

func (k keyRun) closeKey(key string) (string, *pgproto3.ErrorResponse) {
	defer k.cfg.Acquirer.EndUse()
	k.cfg.Acquirer.SetRunning(k.x.Conn)
	r, err := k.x.Query(k.cfg.Keys.Insert(key, rewriter.OutcomeNotRun))
	switch {
	case err != nil:
		k.finish(false)
		return "", resolver.UnknownError(err.Error())
	case r.Err == nil:
		k.x.Evidence = resolver.ProvedWrite
		return rewriter.OutcomeNotRun, k.confirm()
	case resolver.ProvesNotRun(r.Err):
		k.finish(true)
		return "", resolver.NotRunError(r.Err.Message)
	case r.Err.Code != resolver.CodeUniqueViolation:
		k.finish(true)
		return "", r.Err
	}
	return k.readOutcome(key)
}

// readOutcome reads the outcome that is stored for a key, as a strict read, and
// ends the use of the connection.
func (k keyRun) readOutcome(key string) (string, *pgproto3.ErrorResponse) {
	r, err := k.x.Query(k.cfg.Keys.Select(key))
	if err != nil {
		k.finish(false)
		return "", resolver.UnknownError(err.Error())
	}
	k.x.Evidence = resolver.Unproved
	if failure := k.confirm(); failure != nil {
		return "", failure
	}
	if r.Err != nil {
		return "", r.Err
	}
	if len(r.Values) == 0 || len(r.Values[0]) == 0 {
		return "", resolver.UnknownError("the request key is in use by a request that has not ended")
	}
	return r.Values[0][0], nil
}

// confirm confirms the proxy's own statement and ends the use of its
// connection.
func (k keyRun) confirm() *pgproto3.ErrorResponse {
	err := k.x.AskStatus()
	k.finish(err == nil)
	switch {
	case err != nil:
		return resolver.UnknownError(err.Error())
	case k.x.Row.Role != tracker.RolePrimary && k.x.Evidence != resolver.ProvedWrite:
		return resolver.UnknownError("backend server " + k.x.Conn.Server() + " is not the primary")
	}
	res, err := k.cfg.Certifier.Confirm(k.x.Row.Log, k.x.Evidence != resolver.ProvedWrite)
	if err != nil {
		return resolver.UnknownError(err.Error())
	}
	commit := k.x.Evidence.ApplyTo(resolver.Commit{Lower: k.x.LowerBound, Upper: k.x.Row.Log})
	if commit.Resolve(res) != resolver.Done {
		return resolver.UnknownError("the primary was replaced")
	}
	*k.cfg.Minimum = k.cfg.Minimum.WithCommit(k.x.Row.Log, k.cfg.Clock.Now())
	return nil
}

// finish ends the use of a connection by the proxy's own statements.
func (k keyRun) finish(clean bool) {
	k.cfg.Acquirer.SetRunning(nil)
	switch {
	case k.onPinned && clean:
		k.cfg.Retainer.Keep(k.x.Conn)
	case k.onPinned:
		k.cfg.Retainer.Lose(k.x.Conn)
	case clean:
		k.x.Conn.Release()
	default:
		k.x.Conn.Discard()
	}
}

func (k keyRun) rollBackAndReadOutcome() (string, *pgproto3.ErrorResponse) {
	r, err := k.x.Query("ROLLBACK")
	if err != nil || r.Status != 'I' {
		k.finish(false)
		return "", resolver.UnknownError("the stored outcome of the request key was not read")
	}
	return k.readOutcome(k.x.KeyConflict)
}
