package executor

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

// Result is the complete result of one statement.
type Result struct {
	Rows [][]driver.Value
	// Tag is the command tag.
	Tag string
}

// Execute runs a statement under a context that a cancel request ends.
func (e *Executor) Execute(p *Prepared, args []driver.Value) (Result, error) {
	e.cfg.Statements.Add(1)
	ctx, end := e.begin()
	defer end()
	if d := time.Duration(e.cfg.Faults.Slow.Load()); d > 0 {
		if err := sleep(ctx, d); err != nil {
			return Result{}, err
		}
	}
	return e.dispatch(ctx, p, args)
}

func (e *Executor) dispatch(ctx context.Context, p *Prepared, args []driver.Value) (Result, error) {
	switch p.Kind {
	case sqltext.Read:
		return e.read(ctx, p, args)
	case sqltext.LockRead, sqltext.Write, sqltext.DDL:
		return e.modify(ctx, p, args)
	case sqltext.Begin, sqltext.Commit, sqltext.Rollback, sqltext.Savepoint, sqltext.RollbackTo, sqltext.Release:
		return e.control(ctx, p)
	case sqltext.Set, sqltext.SetTransaction, sqltext.Show, sqltext.Reset, sqltext.Discard, sqltext.Deallocate:
		return e.configure(p)
	case sqltext.Sleep:
		return e.pgSleep(ctx, p, args)
	case sqltext.Group:
		return e.group(p, args)
	case sqltext.Builtin:
		return e.builtin(p), nil
	case sqltext.Accepted:
		return Result{Tag: p.Tag}, nil
	}
	return Result{}, &rows.Error{Code: "0A000", Message: fmt.Sprintf("%s is not supported", p.Tag)}
}

func (e *Executor) read(ctx context.Context, p *Prepared, args []driver.Value) (Result, error) {
	if e.block == 'T' && e.snapshot && !e.reading && e.write == nil {
		if err := e.db.Exec(ctx, "BEGIN"); err != nil {
			return Result{}, err
		}
		e.reading = true
		if err := e.markSavepoints(ctx); err != nil {
			return Result{}, err
		}
	}
	res, err := e.db.Run(ctx, p.Bound(time.Now()), args, true)
	if err != nil {
		return Result{}, e.explain(err)
	}
	return Result{Rows: res.Rows, Tag: fmt.Sprintf("SELECT %d", len(res.Rows))}, nil
}

// modify runs a statement that needs the writer.
func (e *Executor) modify(ctx context.Context, p *Prepared, args []driver.Value) (Result, error) {
	sql := p.Bound(time.Now())
	temporary := p.Temporary || e.temps[p.Table]
	if !temporary {
		if err := e.ensureWrite(ctx); err != nil {
			return Result{}, e.explain(err)
		}
	}
	res, err := e.db.Run(ctx, sql, args, len(p.Columns) > 0)
	if err != nil {
		return Result{}, e.explain(err)
	}
	switch {
	case p.Temporary:
		e.temps[p.Table] = true
	case !temporary && p.Kind != sqltext.LockRead:
		e.write.Log(record(sql, args, p.Kind == sqltext.DDL))
	}
	return Result{Rows: res.Rows, Tag: tag(p, res.Affected)}, nil
}

func record(sql string, args []driver.Value, schema bool) logstore.Statement {
	values := make([]logstore.Value, len(args))
	for i, v := range args {
		values[i] = logstore.NewValue(v)
	}
	return logstore.Statement{SQL: sql, Args: values, Schema: schema}
}

func tag(p *Prepared, affected int64) string {
	switch p.Tag {
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", affected)
	case "SELECT", "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", p.Tag, affected)
	}
	return p.Tag
}

// explain turns an error that a fence caused into 25006.
func (e *Executor) explain(err error) error {
	if e.write != nil && e.write.Ended() {
		return errFenced
	}
	return err
}

func (e *Executor) pgSleep(ctx context.Context, p *Prepared, args []driver.Value) (Result, error) {
	if len(p.Args) != 1 {
		return Result{}, &rows.Error{Code: "42883", Message: "function pg_sleep needs one argument"}
	}
	v, err := argument(p.Args[0], args)
	if err != nil {
		return Result{}, err
	}
	var seconds float64
	if _, err := fmt.Sscan(v, &seconds); err != nil {
		return Result{}, &rows.Error{Code: "22P02", Message: "pg_sleep: " + err.Error()}
	}
	if err := sleep(ctx, time.Duration(seconds*float64(time.Second))); err != nil {
		return Result{}, e.explain(err)
	}
	return Result{Rows: [][]driver.Value{{""}}, Tag: "SELECT 1"}, nil
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
