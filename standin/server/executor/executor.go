package executor

import (
	"context"
	"errors"
	"maps"
	"sync"

	"marigoldhub.example/hub/standin/server/node"
	"marigoldhub.example/hub/standin/server/rows"
)

// ErrLost is the result of a commit whose answer is lost on purpose. The
// session closes its connection.
var ErrLost = errors.New("answer lost")

// Executor runs the statements of one session. All methods but Interrupt,
// Answered and Close need its lock; the rollback after a fence takes it, too.
type Executor struct {
	sync.Mutex
	cfg   Config
	ctx   context.Context
	db    *rows.Conn
	vars  map[string]string
	temps map[string]bool
	transaction

	runMu sync.Mutex
	stop  context.CancelFunc
	// answered are closed when the answers so far have been sent.
	answered []chan struct{}
}

// transaction is the transaction state of a session.
type transaction struct {
	// block is the status of ReadyForQuery: 'I', 'T' or 'E'.
	block byte
	// killed is set when a fence ended the transaction.
	killed   bool
	readOnly bool
	snapshot bool
	// reading is set while a snapshot is open on the row store.
	reading    bool
	write      *node.WriteTx
	savepoints []savepoint
	// locals are the settings of SET LOCAL, saved the settings before the
	// block.
	locals map[string]string
	saved  map[string]string
}

type savepoint struct {
	name string
	mark int
}

// New opens the rows for a session. Statements end with ctx.
func New(ctx context.Context, cfg Config) (*Executor, error) {
	db, err := cfg.Node.OpenRows()
	if err != nil {
		return nil, err
	}
	e := &Executor{cfg: cfg, ctx: ctx, db: db, vars: maps.Clone(defaults), temps: map[string]bool{}}
	e.block = 'I'
	return e, nil
}

// Block returns the status for ReadyForQuery: 'I', 'T' or 'E'.
func (e *Executor) Block() byte { return e.block }

// begin starts the context of one statement, which Interrupt cancels.
func (e *Executor) begin() (context.Context, func()) {
	ctx, cancel := context.WithCancel(e.ctx)
	e.runMu.Lock()
	e.stop = cancel
	e.runMu.Unlock()
	return ctx, func() {
		e.runMu.Lock()
		e.stop = nil
		e.runMu.Unlock()
		cancel()
	}
}

// Interrupt cancels the running statement, if any.
func (e *Executor) Interrupt() {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	if e.stop != nil {
		e.stop()
	}
}

// Answered tells that all answers so far have been sent.
func (e *Executor) Answered() {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	for _, ch := range e.answered {
		close(ch)
	}
	e.answered = nil
}

// untilAnswered returns a channel that the next call of Answered closes.
func (e *Executor) untilAnswered() <-chan struct{} {
	e.runMu.Lock()
	defer e.runMu.Unlock()
	ch := make(chan struct{})
	e.answered = append(e.answered, ch)
	return ch
}

// Close rolls back an open transaction and closes the rows.
func (e *Executor) Close() {
	e.Lock()
	defer e.Unlock()
	e.rollback()
	e.db.Close()
}
