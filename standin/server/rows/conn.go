package rows

import (
	"context"
	"database/sql/driver"
	"errors"
	"io"
	"strings"

	"marigoldhub.example/hub/standin/server/pgvalue"
	"marigoldhub.example/hub/standin/server/sqltext"
)

// maxStatements bounds the compiled statements that a connection keeps.
const maxStatements = 256

// Conn is one connection to the rows. It is not safe for concurrent use.
type Conn struct {
	store  *Store
	raw    rawConn
	stmts  map[string]rawStmt
	schema uint64
	tables map[string]sqltext.ColumnTypes
}

// Result is the complete result of a statement.
type Result struct {
	Rows [][]driver.Value
	// Affected counts the rows that a write changed.
	Affected int64
}

// Column describes a result column.
type Column struct {
	Name string
	OID  uint32
}

// Exec runs a statement without parameters whose result does not matter.
func (c *Conn) Exec(ctx context.Context, sql string) error {
	_, err := c.Run(ctx, sql, nil, false)
	return err
}

// Run runs a statement to its end. Rows are read only if wantRows is set.
func (c *Conn) Run(ctx context.Context, sql string, args []driver.Value, wantRows bool) (Result, error) {
	stmt, err := c.prepare(ctx, sql)
	if err != nil {
		return Result{}, newError(err)
	}
	named := make([]driver.NamedValue, len(args))
	for i, v := range args {
		named[i] = driver.NamedValue{Ordinal: i + 1, Value: v}
	}
	if wantRows {
		return query(ctx, stmt, named)
	}
	r, err := stmt.ExecContext(ctx, named)
	if err != nil {
		return Result{}, newError(err)
	}
	n, err := r.RowsAffected()
	if err != nil {
		return Result{}, newError(err)
	}
	return Result{Affected: n}, nil
}

func query(ctx context.Context, stmt rawStmt, args []driver.NamedValue) (_ Result, err error) {
	rs, err := stmt.QueryContext(ctx, args)
	if err != nil {
		return Result{}, newError(err)
	}
	defer func() {
		if e := rs.Close(); err == nil && e != nil {
			err = newError(e)
		}
	}()
	var res Result
	n := len(rs.Columns())
	for {
		row := make([]driver.Value, n)
		err := rs.Next(row)
		if errors.Is(err, io.EOF) {
			res.Affected = int64(len(res.Rows))
			return res, nil
		}
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return Result{}, newError(err)
		}
		res.Rows = append(res.Rows, row)
	}
}

func (c *Conn) prepare(ctx context.Context, sql string) (rawStmt, error) {
	if s, ok := c.stmts[sql]; ok {
		return s, nil
	}
	if len(c.stmts) >= maxStatements {
		c.closeStatements()
	}
	s, err := c.raw.PrepareContext(ctx, sql)
	if err != nil {
		return nil, err
	}
	c.stmts[sql] = s.(rawStmt)
	return c.stmts[sql], nil
}

func (c *Conn) closeStatements() {
	for sql, s := range c.stmts {
		s.Close()
		delete(c.stmts, sql)
	}
}

// Describe returns the types of the placeholders and the result columns
// without running the statement.
func (c *Conn) Describe(s *sqltext.Statement, given []uint32) ([]uint32, []Column, error) {
	sql := strings.ReplaceAll(s.SQL, "\x00now\x00", "''")
	info, err := c.raw.ColumnInfo(sql)
	if err != nil {
		return nil, nil, newError(err)
	}
	known := c.columnTypes(s)
	params := s.ParamTypes(given, known)
	columns := make([]Column, len(info))
	for i, ci := range info {
		oid := pgvalue.OIDOf(ci.DeclType)
		if oid == 0 {
			oid = s.ExprType(i, known, params)
		}
		columns[i] = Column{Name: columnName(ci.Name), OID: oid}
	}
	return params, columns, nil
}

// columnName gives expressions the name that PostgreSQL gives them: that of
// the function, or "?column?".
func columnName(name string) string {
	if fn, _, ok := strings.Cut(name, "("); ok {
		if fn != "" {
			return strings.ToLower(fn)
		}
		return "?column?"
	}
	if strings.ContainsAny(name, "?'+*/ ") || name != "" && name[0] >= '0' && name[0] <= '9' {
		return "?column?"
	}
	return name
}

// columnTypes returns the declared types of all columns of the tables that a
// statement names.
func (c *Conn) columnTypes(s *sqltext.Statement) sqltext.ColumnTypes {
	if v := c.store.Schema(); c.tables == nil || c.schema != v {
		c.schema, c.tables = v, map[string]sqltext.ColumnTypes{}
	}
	all := sqltext.ColumnTypes{}
	for _, table := range s.Tables() {
		types, ok := c.tables[table]
		if !ok {
			types = c.tableTypes(table)
		}
		if types != nil {
			c.tables[table] = types
		}
		for name, oid := range types {
			all[name] = oid
		}
	}
	return all
}

func (c *Conn) tableTypes(table string) sqltext.ColumnTypes {
	info, err := c.raw.ColumnInfo(`SELECT * FROM "` + strings.ReplaceAll(table, `"`, `""`) + `"`)
	if err != nil {
		return nil // The name is not that of a table.
	}
	types := sqltext.ColumnTypes{}
	for _, ci := range info {
		types[strings.ToLower(ci.Name)] = pgvalue.OIDOf(ci.DeclType)
	}
	return types
}

// Close rolls back an open transaction and closes the connection.
func (c *Conn) Close() error {
	c.closeStatements()
	return c.raw.Close()
}
