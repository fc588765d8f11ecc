package session

import (
	"database/sql/driver"

	"marigoldhub.example/hub/standin/server/pgvalue"
	"marigoldhub.example/hub/standin/server/rows"
	"marigoldhub.example/hub/standin/server/sqltext"
)

// prepared is a statement with its types.
type prepared struct {
	*sqltext.Statement
	params  []uint32
	columns []rows.Column
}

// portal is a bound statement.
type portal struct {
	*prepared
	args    []driver.Value
	formats []int16
	// started is set when the statement has run; rest are the rows not sent
	// yet.
	started bool
	rest    [][]driver.Value
	tag     string
}

// format returns the format code of column i.
func (p *portal) format(i int) int16 {
	switch {
	case len(p.formats) == 0:
		return 0
	case len(p.formats) == 1:
		return p.formats[0]
	case i < len(p.formats):
		return p.formats[i]
	}
	return 0
}

// plan is a simple query with its statements, valid for one schema.
type plan struct {
	schema     uint64
	statements []*prepared
}

// maxPlans bounds the simple queries that a session remembers.
const maxPlans = 256

// statusColumns are the columns of a status row, as the design page lists
// them.
var statusColumns = []rows.Column{
	{Name: "server", OID: pgvalue.OIDText},
	{Name: "role", OID: pgvalue.OIDText},
	{Name: "term", OID: pgvalue.OIDInt8},
	{Name: "promoter", OID: pgvalue.OIDText},
	{Name: "log_term", OID: pgvalue.OIDInt8},
	{Name: "log_offset", OID: pgvalue.OIDInt8},
	{Name: "lineage", OID: pgvalue.OIDText},
	{Name: "leaving", OID: pgvalue.OIDBool},
	{Name: "connections", OID: pgvalue.OIDInt4},
}

// prepare finds the types of a statement.
func (s *Session) prepare(stmt *sqltext.Statement, given []uint32) (*prepared, error) {
	p := &prepared{Statement: stmt}
	var err error
	switch stmt.Kind {
	case sqltext.Read, sqltext.LockRead, sqltext.Write:
		p.params, p.columns, err = s.db.Describe(stmt, given)
		return p, err
	case sqltext.Group:
		p.columns = statusColumns
	case sqltext.Sleep:
		p.columns = []rows.Column{{Name: stmt.Function, OID: pgvalue.OIDText}}
	case sqltext.Builtin:
		p.columns = []rows.Column{{Name: stmt.Function, OID: builtinType(stmt.Function)}}
	case sqltext.Show:
		p.columns = []rows.Column{{Name: settingName(stmt), OID: pgvalue.OIDText}}
	}
	p.params = stmt.ParamTypes(given, nil)
	return p, nil
}
