package executor

import (
	"context"
	"maps"
	"strings"

	"marigoldhub.example/hub/standin/server/rows"
	"marigoldhub.example/hub/standin/server/sqltext"
)

// errFenced is the answer to a transaction that a fence ended.
var errFenced = &rows.Error{Code: "25006", Message: "the transaction was rolled back: the server was fenced"}

// CheckFailed refuses statements in a failed transaction, except those that
// end it.
func (e *Executor) CheckFailed(kind sqltext.Kind) error {
	if e.block != 'E' {
		return nil
	}
	switch kind {
	case sqltext.Commit, sqltext.Rollback, sqltext.RollbackTo, sqltext.Empty:
		return nil
	}
	if e.killed {
		return errFenced
	}
	return &rows.Error{
		Code:    "25P02",
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	}
}

// ensureWrite opens the write transaction if there is none.
func (e *Executor) ensureWrite(ctx context.Context) error {
	if e.write != nil {
		return nil
	}
	if e.readOnly {
		return &rows.Error{Code: "25006", Message: "cannot execute a write in a read-only transaction"}
	}
	tx, err := e.cfg.Node.BeginWrite(ctx, e.db, e.reading, e.kill)
	if err != nil {
		return err
	}
	e.write = tx
	if e.reading {
		return nil
	}
	return e.markSavepoints(ctx)
}

// markSavepoints sets the savepoints of the block on a row store transaction
// that was opened after them.
func (e *Executor) markSavepoints(ctx context.Context) error {
	for _, sp := range e.savepoints {
		if err := e.db.Exec(ctx, "SAVEPOINT "+quote(sp.name)); err != nil {
			return err
		}
	}
	return nil
}

func quote(name string) string { return `"` + strings.ReplaceAll(name, `"`, `""`) + `"` }

// kill rolls back the write transaction after a fence. A statement that runs
// is interrupted and answered with 25006.
func (e *Executor) kill() {
	e.Interrupt()
	go func() {
		e.Lock()
		defer e.Unlock()
		if e.write == nil || !e.write.Ended() {
			return
		}
		e.endRows()
		e.killed = true
		if e.block == 'T' {
			e.block = 'E'
		}
	}()
}

// endRows rolls back the row store transaction and releases the writer.
func (e *Executor) endRows() {
	switch {
	case e.write != nil:
		e.write.Rollback()
	case e.reading:
		_ = e.db.Exec(context.Background(), "ROLLBACK")
	}
	e.write, e.reading = nil, false
}

// Fail follows an error. A block with savepoints can still return
// to one of them.
func (e *Executor) Fail() {
	if e.block == 'I' {
		e.rollback()
		return
	}
	e.block = 'E'
	if len(e.savepoints) == 0 {
		e.killed = e.killed || e.write != nil && e.write.Ended()
		e.endRows()
	}
}

// rollback ends the transaction without effect.
func (e *Executor) rollback() {
	e.endRows()
	if e.saved != nil {
		e.vars = e.saved
	}
	e.transaction = transaction{block: 'I'}
}

// commit ends the transaction with effect. After an error it is rolled back.
func (e *Executor) commit() error {
	write := e.write
	if write == nil {
		if e.reading {
			e.endRows()
		}
		killed := e.killed
		e.transaction = transaction{block: 'I'}
		if killed {
			return errFenced
		}
		return nil
	}
	err := write.Commit()
	e.write, e.reading = nil, false
	if err != nil {
		e.rollback()
		return err
	}
	e.transaction = transaction{block: 'I'}
	if e.cfg.Faults.takeLoss() {
		return ErrLost
	}
	return nil
}

// EndImplicit commits the implicit transaction, if there is one.
func (e *Executor) EndImplicit() error {
	if e.block != 'I' {
		return nil
	}
	return e.commit()
}

// control runs a transaction control statement.
func (e *Executor) control(ctx context.Context, p *Prepared) (Result, error) {
	res := Result{Tag: p.Tag}
	switch p.Kind {
	case sqltext.Begin:
		if e.block == 'I' {
			e.block = 'T'
			e.saved = maps.Clone(e.vars)
			e.readOnly = e.vars["default_transaction_read_only"] == "on"
			e.options(p.Tokens)
		}
		return res, nil
	case sqltext.Commit:
		if e.block == 'E' {
			killed := e.killed
			e.rollback()
			if killed {
				return Result{}, errFenced
			}
			return Result{Tag: "ROLLBACK"}, nil
		}
		return res, e.commit()
	case sqltext.Rollback:
		e.rollback()
		return res, nil
	}
	if e.block == 'I' {
		return Result{}, &rows.Error{Code: "25P01", Message: p.Tag + " can only be used in transaction blocks"}
	}
	return res, e.savepoint(ctx, p)
}

// options reads the modes of BEGIN and SET TRANSACTION.
func (e *Executor) options(tokens []sqltext.Token) {
	for i := 1; i < len(tokens); i++ {
		switch t, prev := tokens[i], tokens[i-1]; {
		case prev.Is("read") && t.Is("only"):
			e.readOnly = true
		case prev.Is("read") && t.Is("write"):
			e.readOnly = false
		case prev.Is("repeatable") && t.Is("read"), t.Is("serializable"):
			e.snapshot = true
		}
	}
}

// savepoint runs SAVEPOINT, ROLLBACK TO and RELEASE.
func (e *Executor) savepoint(ctx context.Context, p *Prepared) error {
	name := p.Tokens[len(p.Tokens)-1].Value()
	open := e.write != nil || e.reading
	if p.Kind == sqltext.Savepoint {
		sp := savepoint{name: name}
		if e.write != nil {
			sp.mark = e.write.Mark()
		}
		e.savepoints = append(e.savepoints, sp)
		if !open {
			return nil
		}
		return e.db.Exec(ctx, "SAVEPOINT "+quote(name))
	}
	i := len(e.savepoints) - 1
	for i >= 0 && e.savepoints[i].name != name {
		i--
	}
	if i < 0 {
		return &rows.Error{Code: "3B001", Message: "savepoint \"" + name + "\" does not exist"}
	}
	if p.Kind == sqltext.Release {
		e.savepoints = e.savepoints[:i]
		if !open {
			return nil
		}
		return e.db.Exec(ctx, "RELEASE "+quote(name))
	}
	return e.returnTo(ctx, i, open)
}

func (e *Executor) returnTo(ctx context.Context, i int, open bool) error {
	if e.killed || e.write != nil && e.write.Ended() {
		return errFenced
	}
	sp := e.savepoints[i]
	if open {
		if err := e.db.Exec(ctx, "ROLLBACK TO "+quote(sp.name)); err != nil {
			return err
		}
	}
	if e.write != nil {
		e.write.ReturnTo(sp.mark)
	}
	e.savepoints = e.savepoints[:i+1]
	e.block = 'T'
	return nil
}
