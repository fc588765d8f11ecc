package session

import (
	"context"
	"maps"
	"strings"

	"marigoldhub.example/hub/standin/server/rows"
	"marigoldhub.example/hub/standin/server/sqltext"
)

// errFenced is the answer to a transaction that a fence ended.
var errFenced = &rows.Error{Code: "25006", Message: "the transaction was rolled back: the server was fenced"}

// checkFailed refuses statements in a failed transaction, except those that
// end it.
func (s *Session) checkFailed(kind sqltext.Kind) error {
	if s.block != 'E' {
		return nil
	}
	switch kind {
	case sqltext.Commit, sqltext.Rollback, sqltext.RollbackTo, sqltext.Empty:
		return nil
	}
	if s.killed {
		return errFenced
	}
	return &rows.Error{
		Code:    "25P02",
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	}
}

// ensureWrite opens the write transaction if there is none.
func (s *Session) ensureWrite(ctx context.Context) error {
	if s.write != nil {
		return nil
	}
	if s.readOnly {
		return &rows.Error{Code: "25006", Message: "cannot execute a write in a read-only transaction"}
	}
	tx, err := s.cfg.Node.BeginWrite(ctx, s.db, s.reading, s.kill)
	if err != nil {
		return err
	}
	s.write = tx
	if s.reading {
		return nil
	}
	return s.markSavepoints(ctx)
}

// markSavepoints sets the savepoints of the block on a row store transaction
// that was opened after them.
func (s *Session) markSavepoints(ctx context.Context) error {
	for _, sp := range s.savepoints {
		if err := s.db.Exec(ctx, "SAVEPOINT "+quote(sp.name)); err != nil {
			return err
		}
	}
	return nil
}

func quote(name string) string { return `"` + strings.ReplaceAll(name, `"`, `""`) + `"` }

// kill rolls back the write transaction after a fence. A statement that runs
// is interrupted and answered with 25006.
func (s *Session) kill() {
	s.interrupt()
	go func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.write == nil || !s.write.Ended() {
			return
		}
		s.endRows()
		s.killed = true
		if s.block == 'T' {
			s.block = 'E'
		}
	}()
}

// endRows rolls back the row store transaction and releases the writer.
func (s *Session) endRows() {
	switch {
	case s.write != nil:
		s.write.Rollback()
	case s.reading:
		_ = s.db.Exec(context.Background(), "ROLLBACK")
	}
	s.write, s.reading = nil, false
}

// failTransaction follows an error. A block with savepoints can still return
// to one of them.
func (s *Session) failTransaction() {
	if s.block == 'I' {
		s.rollback()
		return
	}
	s.block = 'E'
	if len(s.savepoints) == 0 {
		s.killed = s.killed || s.write != nil && s.write.Ended()
		s.endRows()
	}
}

// rollback ends the transaction without effect.
func (s *Session) rollback() {
	s.endRows()
	if s.saved != nil {
		s.vars = s.saved
	}
	s.transaction = transaction{block: 'I'}
}

// commit ends the transaction with effect. After an error it is rolled back.
func (s *Session) commit() error {
	write := s.write
	if write == nil {
		if s.reading {
			s.endRows()
		}
		killed := s.killed
		s.transaction = transaction{block: 'I'}
		if killed {
			return errFenced
		}
		return nil
	}
	err := write.Commit()
	s.write, s.reading = nil, false
	if err != nil {
		s.rollback()
		return err
	}
	s.transaction = transaction{block: 'I'}
	if s.cfg.Faults.takeLoss() {
		return errLost
	}
	return nil
}

// endImplicit commits the implicit transaction, if there is one.
func (s *Session) endImplicit() error {
	if s.block != 'I' {
		return nil
	}
	return s.commit()
}

// control runs a transaction control statement.
func (s *Session) control(ctx context.Context, p *prepared) (result, error) {
	res := result{tag: p.Tag}
	switch p.Kind {
	case sqltext.Begin:
		if s.block == 'I' {
			s.block = 'T'
			s.saved = maps.Clone(s.vars)
			s.readOnly = s.vars["default_transaction_read_only"] == "on"
			s.options(p.Tokens)
		}
		return res, nil
	case sqltext.Commit:
		if s.block == 'E' {
			killed := s.killed
			s.rollback()
			if killed {
				return result{}, errFenced
			}
			return result{tag: "ROLLBACK"}, nil
		}
		return res, s.commit()
	case sqltext.Rollback:
		s.rollback()
		return res, nil
	}
	if s.block == 'I' {
		return result{}, &rows.Error{Code: "25P01", Message: p.Tag + " can only be used in transaction blocks"}
	}
	return res, s.savepoint(ctx, p)
}

// options reads the modes of BEGIN and SET TRANSACTION.
func (s *Session) options(tokens []sqltext.Token) {
	for i := 1; i < len(tokens); i++ {
		switch t, prev := tokens[i], tokens[i-1]; {
		case prev.Is("read") && t.Is("only"):
			s.readOnly = true
		case prev.Is("read") && t.Is("write"):
			s.readOnly = false
		case prev.Is("repeatable") && t.Is("read"), t.Is("serializable"):
			s.snapshot = true
		}
	}
}

// savepoint runs SAVEPOINT, ROLLBACK TO and RELEASE.
func (s *Session) savepoint(ctx context.Context, p *prepared) error {
	name := p.Tokens[len(p.Tokens)-1].Value()
	open := s.write != nil || s.reading
	if p.Kind == sqltext.Savepoint {
		sp := savepoint{name: name}
		if s.write != nil {
			sp.mark = s.write.Mark()
		}
		s.savepoints = append(s.savepoints, sp)
		if !open {
			return nil
		}
		return s.db.Exec(ctx, "SAVEPOINT "+quote(name))
	}
	i := len(s.savepoints) - 1
	for i >= 0 && s.savepoints[i].name != name {
		i--
	}
	if i < 0 {
		return &rows.Error{Code: "3B001", Message: "savepoint \"" + name + "\" does not exist"}
	}
	if p.Kind == sqltext.Release {
		s.savepoints = s.savepoints[:i]
		if !open {
			return nil
		}
		return s.db.Exec(ctx, "RELEASE "+quote(name))
	}
	return s.returnTo(ctx, i, open)
}

func (s *Session) returnTo(ctx context.Context, i int, open bool) error {
	if s.killed || s.write != nil && s.write.Ended() {
		return errFenced
	}
	sp := s.savepoints[i]
	if open {
		if err := s.db.Exec(ctx, "ROLLBACK TO "+quote(sp.name)); err != nil {
			return err
		}
	}
	if s.write != nil {
		s.write.ReturnTo(sp.mark)
	}
	s.savepoints = s.savepoints[:i+1]
	s.block = 'T'
	return nil
}
