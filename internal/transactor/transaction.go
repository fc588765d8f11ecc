package transactor

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/admitter"
	"marigoldhub.example/hub/internal/attempter"
	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/connector"
	"marigoldhub.example/hub/internal/exchanger"
)

// maxCommitAttempts bounds how many times a commit is sent to a server that refuses
// to run it because it is busy.
const maxCommitAttempts = 5

// Transaction is a caller's transaction on one server connection. It begins at the
// server with its first statement, so that it occupies no connection while the caller
// pauses after its begin. Only one goroutine may use it at a time.
type Transaction struct {
	cfg      *Config
	readOnly bool
	begin    attempter.Request

	// backend and conn are set while the transaction is open at a server.
	backend *connector.Backend
	conn    connector.Conn
	// leader is the primary at which the transaction began; zero at other servers.
	leader attester.Leader
	// confirmation receives the result of confirming that the server was the primary
	// when the transaction began; nil when that is not needed, or no longer.
	confirmation <-chan error
	// wrote is true once a write has run. Only then does the commit need a replica,
	// and so confirm that the server is still the primary.
	wrote  bool
	failed bool
}

// Run runs a statement inside the transaction. If the statement fails, the
// transaction is rolled back.
func (t *Transaction) Run(req attempter.Request) exchanger.Answer {
	if a, ok := t.ensureBegun(req); !ok {
		return t.abort(a)
	}
	answers, err := t.run(req, req.Deadline(req.Received))
	if err != nil {
		t.cfg.Log.WithError(err).WithFields(logrus.Fields{"request": req.Statement.ID, "server": t.backend.ID}).
			Warn("dispatcher: transaction is aborted, its connection is lost")
		t.observeLostConn(err)
		return t.abort(exchanger.ErrorAnswer(exchanger.Aborted, exchanger.FailedTransaction, "the connection to the backend server was lost; nothing is kept"))
	}
	a := answers[0]
	if !a.OK() {
		return t.abortAfter(a)
	}
	if err := t.awaitConfirmation(); err != nil {
		return t.abort(t.abortUnconfirmed(req, err))
	}
	t.wrote = t.wrote || req.IsWrite()
	a.State = exchanger.InTransaction
	return a
}

// Commit commits the transaction. The answer is the server's, or says that the
// transaction was rolled back or that its outcome is unknown. The request is the
// caller's commit statement.
func (t *Transaction) Commit(req attempter.Request) exchanger.Answer {
	if t.failed {
		return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "the transaction had failed and is rolled back")
	}
	if a, ok := t.ensureBegun(req); !ok {
		a.State = exchanger.Idle
		return a
	}
	if err := t.awaitConfirmation(); err != nil {
		t.discardConn()
		a := t.abortUnconfirmed(req, err)
		a.State = exchanger.Idle
		return a
	}
	a := t.commit(req)
	a.State = exchanger.Idle
	return a
}

// abortUnconfirmed logs and returns the answer to a transaction at a server that may already have
// been replaced as primary when the transaction began.
func (t *Transaction) abortUnconfirmed(req attempter.Request, err error) exchanger.Answer {
	t.cfg.Log.WithError(err).WithFields(logrus.Fields{"request": req.Statement.ID, "server": t.backend.ID, "term": t.leader.Term}).
		Info("dispatcher: transaction is aborted, the primary is not proved to lead")
	return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.FailedTransaction, "the primary is not proved to lead; nothing is kept")
}

func (t *Transaction) commit(req attempter.Request) exchanger.Answer {
	deadline := req.Deadline(req.Received)
	if t.wrote && t.backend.Writes.IsStalled(t.cfg.Clock.Now()) {
		t.Abandon()
		return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "no replica receives the primary's commits; nothing is kept")
	}
	for range maxCommitAttempts {
		began := t.cfg.Clock.Now()
		answers, err := t.runCommit(req, deadline, began)
		if errors.Is(err, exchanger.ErrNotSent) {
			t.discardConn()
			return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "the connection to the backend server was lost; nothing is kept")
		}
		if err != nil {
			t.observeLostConn(err)
			l := t.leader
			t.discardConn()
			if !t.wrote {
				return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "the answer to a transaction without writes was lost")
			}
			return t.cfg.Committer.UnknownOutcome(req, l, err)
		}
		a := answers[0]
		if a.Code == exchanger.Busy && a.State == exchanger.InTransaction && t.cfg.Clock.Now().Before(deadline) {
			t.cfg.Clock.Sleep(attempter.BusyPause)
			continue
		}
		t.releaseConn(a.State == exchanger.Idle)
		if a.OK() && t.wrote {
			return t.cfg.Committer.Acknowledge(t.cfg.Groups.Group(t.begin.Route.Service), t.leader, req, a, began, deadline)
		}
		return a
	}
	t.discardConn()
	return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "the backend server was too busy to commit; nothing is kept")
}

func (t *Transaction) runCommit(req attempter.Request, deadline, began time.Time) ([]exchanger.Answer, error) {
	if t.wrote {
		defer t.backend.Writes.Begin(began)()
	}
	return t.run(req, deadline)
}

// run sends the next statement. Through a gateway, the slot is taken there.
func (t *Transaction) run(req attempter.Request, deadline time.Time) ([]exchanger.Answer, error) {
	u := admitter.Urgency{Priority: t.begin.Route.Priority, Team: t.begin.Team}
	return t.conn.RunNext(deadline, u, req.Context, req.Statement)
}

// Rollback rolls the transaction back.
func (t *Transaction) Rollback(req attempter.Request) exchanger.Answer {
	if t.conn != nil {
		answers, err := t.conn.RunPlain(req.Deadline(req.Received), req.Statement)
		t.releaseConn(err == nil && answers[0].State == exchanger.Idle)
	}
	return exchanger.Acknowledgement(exchanger.Idle)
}

// Abandon rolls back the transaction of a caller that has gone or is idle too long.
func (t *Transaction) Abandon() {
	t.failed = true
	if t.conn != nil && t.conn.IsBroken() {
		t.discardConn()
	}
	if t.conn != nil {
		answers, err := t.conn.RunPlain(t.cfg.Clock.Now().Add(abandonTimeout), exchanger.Statement{Kind: exchanger.Rollback})
		t.releaseConn(err == nil && answers[0].State == exchanger.Idle)
	}
}

// abandonTimeout limits the rollback of an abandoned transaction; closing the
// connection rolls it back as well.
const abandonTimeout = time.Second

// abortAfter aborts the transaction after one of its statements was refused or
// failed. Because the transaction is rolled back, the caller may be told that nothing
// is kept, even if the statement itself ran and failed.
func (t *Transaction) abortAfter(a exchanger.Answer) exchanger.Answer {
	if !a.Code.GuaranteesNoEffect() {
		a = exchanger.ErrorAnswer(exchanger.Aborted, exchanger.FailedTransaction, "a statement failed ("+a.Code.String()+"); nothing is kept")
	}
	return t.abort(a)
}

// abort rolls the transaction back, releases its connection and marks it as failed.
func (t *Transaction) abort(a exchanger.Answer) exchanger.Answer {
	t.Abandon()
	a.State = exchanger.FailedTransaction
	return a
}

func (t *Transaction) observeLostConn(err error) {
	now := t.cfg.Clock.Now()
	if !errors.Is(err, connector.ErrGateway) {
		t.backend.Observe(now, 0, exchanger.Success, err)
	}
	if t.leader.Term > 0 {
		t.cfg.Attempter.RecheckPrimary(t.cfg.Groups.Group(t.begin.Route.Service), t.leader)
	}
}

// releaseConn releases the connection; one that is not idle is closed.
func (t *Transaction) releaseConn(isIdle bool) {
	if t.conn != nil {
		t.conn.Release(isIdle)
		t.conn = nil
	}
}

func (t *Transaction) discardConn() { t.releaseConn(false) }

// awaitConfirmation waits for the confirmation that the server was the primary when
// the transaction began.
func (t *Transaction) awaitConfirmation() error {
	if t.confirmation == nil {
		return nil
	}
	err := <-t.confirmation
	t.confirmation = nil
	return err
}
