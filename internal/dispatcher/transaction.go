package dispatcher

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/attester"
	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/linker"
)

// maxCommitAttempts bounds how often a commit is sent to a server that refuses
// to run it because it is busy.
const maxCommitAttempts = 5

// Transaction is a caller's transaction on one server connection. It begins at
// the server with its first statement, so that a caller's pause after its begin
// holds no connection. One goroutine uses it at a time.
type Transaction struct {
	d        *Dispatcher
	readOnly bool
	begin    Request

	backend *backend
	link    link
	leader  attester.Leader
	// witness is the proof that reads wait for; nil when none is needed.
	witness <-chan error
	// wrote is true once a write has run. Only its commit needs a replica and
	// so proves that the server still leads.
	wrote  bool
	failed bool
}

// Begin returns a transaction that has not yet reached a server.
func (d *Dispatcher) Begin(begin Request) *Transaction {
	return &Transaction{d: d, begin: begin, readOnly: begin.Statement.Kind == exchanger.BeginReadOnly}
}

// Run runs a statement inside the transaction.
func (t *Transaction) Run(req Request) exchanger.Answer {
	if a, ok := t.open(req); !ok {
		return t.fail(a)
	}
	answers, err := t.run(req, req.deadline(req.Received))
	if err != nil {
		t.d.cfg.Log.WithError(err).WithFields(logrus.Fields{"request": req.Statement.ID, "server": t.backend.id}).
			Warn("dispatcher: transaction is aborted, its connection is lost")
		t.noteLost(err)
		return t.fail(exchanger.ErrorAnswer(exchanger.Aborted, exchanger.FailedTransaction, "the connection to the backend server was lost; nothing is kept"))
	}
	a := answers[0]
	if !a.OK() {
		return t.failStatement(a)
	}
	if err := t.prove(); err != nil {
		return t.fail(t.notProved(req, err))
	}
	t.wrote = t.wrote || req.IsWrite()
	a.State = exchanger.InTransaction
	return a
}

// Commit ends the transaction. The answer is the server's.
func (t *Transaction) Commit(req Request) exchanger.Answer {
	if t.failed {
		return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "the transaction had failed and is rolled back")
	}
	if a, ok := t.open(req); !ok {
		a.State = exchanger.Idle
		return a
	}
	if err := t.prove(); err != nil {
		t.close()
		a := t.notProved(req, err)
		a.State = exchanger.Idle
		return a
	}
	a := t.commit(req)
	a.State = exchanger.Idle
	return a
}

// notProved is the answer to a transaction at a server that may have been
// superseded when the transaction began.
func (t *Transaction) notProved(req Request, err error) exchanger.Answer {
	t.d.cfg.Log.WithError(err).WithFields(logrus.Fields{"request": req.Statement.ID, "server": t.backend.id, "term": t.leader.Term}).
		Info("dispatcher: transaction is aborted, the primary is not proved to lead")
	return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.FailedTransaction, "the primary is not proved to lead; nothing is kept")
}

func (t *Transaction) commit(req Request) exchanger.Answer {
	deadline := req.deadline(req.Received)
	if t.wrote && t.backend.writes.isStalled(t.d.cfg.Clock.Now()) {
		t.Abandon()
		return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "no replica receives the primary's commits; nothing is kept")
	}
	for range maxCommitAttempts {
		began := t.d.cfg.Clock.Now()
		answers, err := t.runCommit(req, deadline, began)
		if errors.Is(err, exchanger.ErrNotSent) {
			t.close()
			return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "the connection to the backend server was lost; nothing is kept")
		}
		if err != nil {
			t.noteLost(err)
			l := t.leader
			t.close()
			if !t.wrote {
				return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "the answer to a transaction without writes was lost")
			}
			return t.d.unknown(req, l, err)
		}
		a := answers[0]
		if a.Code == exchanger.Busy && a.State == exchanger.InTransaction && t.d.cfg.Clock.Now().Before(deadline) {
			t.d.cfg.Clock.Sleep(busyPause)
			continue
		}
		if a.OK() && t.wrote {
			g := t.d.Group(t.begin.Route.Service)
			g.Acknowledge(a.Position)
			g.AddSample(attester.Sample{At: began, Position: a.Position, Term: t.leader.Term})
		}
		t.finish(a.State == exchanger.Idle)
		return a
	}
	t.close()
	return exchanger.ErrorAnswer(exchanger.Aborted, exchanger.Idle, "the backend server was too busy to commit; nothing is kept")
}

func (t *Transaction) runCommit(req Request, deadline, began time.Time) ([]exchanger.Answer, error) {
	if t.wrote {
		defer t.backend.writes.begin(began)()
	}
	return t.run(req, deadline)
}

// run sends the next statement. A link of a gateway's has its turn there.
func (t *Transaction) run(req Request, deadline time.Time) ([]exchanger.Answer, error) {
	if _, ok := t.link.(*linker.Link); !ok {
		return t.link.Run(deadline, req.Context, req.Statement)
	}
	return t.backend.inTurn(func() ([]exchanger.Answer, error) { return t.link.Run(deadline, req.Context, req.Statement) })
}

// Rollback ends the transaction without effect.
func (t *Transaction) Rollback(req Request) exchanger.Answer {
	if t.link != nil {
		answers, err := t.link.RunPlain(req.deadline(req.Received), req.Statement)
		t.finish(err == nil && answers[0].State == exchanger.Idle)
	}
	return exchanger.Acknowledgement(exchanger.Idle)
}

// Abandon ends the transaction of a caller that has gone or rests too long.
func (t *Transaction) Abandon() {
	t.failed = true
	if t.link != nil && t.link.IsBroken() {
		t.close()
	}
	if t.link != nil {
		answers, err := t.link.RunPlain(t.d.cfg.Clock.Now().Add(abandonTimeout), exchanger.Statement{Kind: exchanger.Rollback})
		t.finish(err == nil && answers[0].State == exchanger.Idle)
	}
}

// abandonTimeout limits the rollback of an abandoned transaction; closing the
// connection rolls back as well.
const abandonTimeout = time.Second

// failStatement fails the transaction because of one of its statements. It is
// rolled back, so that the caller may be told that nothing is kept, also when
// the statement itself ran and failed.
func (t *Transaction) failStatement(a exchanger.Answer) exchanger.Answer {
	if !a.Code.GuaranteesNoEffect() {
		a = exchanger.ErrorAnswer(exchanger.Aborted, exchanger.FailedTransaction, "a statement failed ("+a.Code.String()+"); nothing is kept")
	}
	return t.fail(a)
}

// fail marks the transaction as failed and frees its connection.
func (t *Transaction) fail(a exchanger.Answer) exchanger.Answer {
	t.Abandon()
	a.State = exchanger.FailedTransaction
	return a
}

func (t *Transaction) noteLost(err error) {
	now := t.d.cfg.Clock.Now()
	if !errors.Is(err, errGateway) {
		t.backend.observe(now, 0, exchanger.Success, err)
	}
	if t.leader.Term > 0 {
		t.d.doubtUnreachable(t.d.Group(t.begin.Route.Service), t.leader)
	}
}

// finish returns the connection; one that is not at rest is closed.
func (t *Transaction) finish(atRest bool) {
	if t.link != nil {
		t.backend.release(t.link, atRest)
		t.link = nil
	}
}

func (t *Transaction) close() { t.finish(false) }

// prove waits for the proof that the server led when the transaction began.
func (t *Transaction) prove() error {
	if t.witness == nil {
		return nil
	}
	err := <-t.witness
	t.witness = nil
	return err
}
