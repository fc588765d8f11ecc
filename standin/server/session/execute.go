package session

import (
	"context"
	"database/sql/driver"
	"fmt"
	"strings"
	"time"

	"marigoldhub.example/hub/standin/server/logstore"
	"marigoldhub.example/hub/standin/server/rows"
	"marigoldhub.example/hub/standin/server/sqltext"
)

// result is the complete result of one statement.
type result struct {
	rows [][]driver.Value
	tag  string
}

// execute runs a statement under a context that a cancel request ends.
func (s *Session) execute(p *prepared, args []driver.Value) (result, error) {
	s.cfg.Registry.Statements.Add(1)
	ctx, end := s.begin()
	defer end()
	if d := time.Duration(s.cfg.Faults.Slow.Load()); d > 0 {
		if err := sleep(ctx, d); err != nil {
			return result{}, err
		}
	}
	return s.dispatch(ctx, p, args)
}

func (s *Session) dispatch(ctx context.Context, p *prepared, args []driver.Value) (result, error) {
	switch p.Kind {
	case sqltext.Read:
		return s.read(ctx, p, args)
	case sqltext.LockRead, sqltext.Write, sqltext.DDL:
		return s.modify(ctx, p, args)
	case sqltext.Begin, sqltext.Commit, sqltext.Rollback, sqltext.Savepoint, sqltext.RollbackTo, sqltext.Release:
		return s.control(ctx, p)
	case sqltext.Set, sqltext.SetTransaction, sqltext.Show, sqltext.Reset, sqltext.Discard, sqltext.Deallocate:
		return s.configure(p)
	case sqltext.Sleep:
		return s.pgSleep(ctx, p, args)
	case sqltext.Group:
		return s.group(p, args)
	case sqltext.Builtin:
		return s.builtin(p), nil
	case sqltext.Accepted:
		return result{tag: p.Tag}, nil
	}
	return result{}, &rows.Error{Code: "0A000", Message: fmt.Sprintf("%s is not supported", p.Tag)}
}

func (s *Session) read(ctx context.Context, p *prepared, args []driver.Value) (result, error) {
	if s.block == 'T' && s.snapshot && !s.reading && s.write == nil {
		if err := s.db.Exec(ctx, "BEGIN"); err != nil {
			return result{}, err
		}
		s.reading = true
		if err := s.markSavepoints(ctx); err != nil {
			return result{}, err
		}
	}
	res, err := s.db.Run(ctx, p.Bound(time.Now()), args, true)
	if err != nil {
		return result{}, s.explain(err)
	}
	return result{rows: res.Rows, tag: fmt.Sprintf("SELECT %d", len(res.Rows))}, nil
}

// modify runs a statement that needs the writer.
func (s *Session) modify(ctx context.Context, p *prepared, args []driver.Value) (result, error) {
	sql := p.Bound(time.Now())
	temporary := p.Temporary || s.temps[p.Table]
	if !temporary {
		if err := s.ensureWrite(ctx); err != nil {
			return result{}, s.explain(err)
		}
	}
	res, err := s.db.Run(ctx, sql, args, len(p.columns) > 0)
	if err != nil {
		return result{}, s.explain(err)
	}
	switch {
	case p.Temporary:
		s.temps[p.Table] = true
	case !temporary && p.Kind != sqltext.LockRead:
		s.write.Log(record(sql, args, p.Kind == sqltext.DDL))
	}
	return result{rows: res.Rows, tag: tag(p, res.Affected)}, nil
}

func record(sql string, args []driver.Value, schema bool) logstore.Statement {
	values := make([]logstore.Value, len(args))
	for i, v := range args {
		values[i] = logstore.NewValue(v)
	}
	return logstore.Statement{SQL: sql, Args: values, Schema: schema}
}

func tag(p *prepared, affected int64) string {
	switch p.Tag {
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", affected)
	case "SELECT", "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", p.Tag, affected)
	}
	return p.Tag
}

// explain turns an error that a fence caused into 25006.
func (s *Session) explain(err error) error {
	if s.write != nil && s.write.Ended() {
		return errFenced
	}
	return err
}

func (s *Session) pgSleep(ctx context.Context, p *prepared, args []driver.Value) (result, error) {
	if len(p.Args) != 1 {
		return result{}, &rows.Error{Code: "42883", Message: "function pg_sleep needs one argument"}
	}
	v, err := argument(p.Args[0], args)
	if err != nil {
		return result{}, err
	}
	var seconds float64
	if _, err := fmt.Sscan(v, &seconds); err != nil {
		return result{}, &rows.Error{Code: "22P02", Message: "pg_sleep: " + err.Error()}
	}
	if err := sleep(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
		return result{}, s.explain(err)
	}
	return result{rows: [][]driver.Value{{""}}, tag: "SELECT 1"}, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return &rows.Error{Code: "57014", Message: "canceling statement due to user request"}
	case <-timer.C:
		return nil
	}
}

// argument returns the text of a literal or of the parameter it names.
func argument(t sqltext.Token, args []driver.Value) (string, error) {
	if t.Kind != sqltext.Param {
		return t.Value(), nil
	}
	i := sqltext.ParamIndex(t)
	if i >= len(args) || args[i] == nil {
		return "", &rows.Error{Code: "22004", Message: "argument must not be null"}
	}
	return strings.TrimSpace(fmt.Sprint(args[i])), nil
}
