package executor

import (
	"marigoldhub.example/hub/standin/server/pgvalue"
	"marigoldhub.example/hub/standin/server/rows"
	"marigoldhub.example/hub/standin/server/sqltext"
)

// Prepared is a statement with its types.
type Prepared struct {
	*sqltext.Statement
	// ParamTypes are the type OIDs of the placeholders, and nil before
	// [Executor.Prepare].
	ParamTypes []uint32
	Columns    []rows.Column
}

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
	{Name: "applied_offset", OID: pgvalue.OIDInt8},
}

// Prepare finds the types of a statement.
func (e *Executor) Prepare(stmt *sqltext.Statement, given []uint32) (*Prepared, error) {
	p := &Prepared{Statement: stmt}
	var err error
	switch stmt.Kind {
	case sqltext.Read, sqltext.LockRead, sqltext.Write:
		p.ParamTypes, p.Columns, err = e.db.Describe(stmt, given)
		return p, err
	case sqltext.Group:
		p.Columns = statusColumns
	case sqltext.Sleep:
		p.Columns = []rows.Column{{Name: stmt.Function, OID: pgvalue.OIDText}}
	case sqltext.Builtin:
		p.Columns = []rows.Column{{Name: stmt.Function, OID: builtinType(stmt.Function)}}
	case sqltext.Show:
		p.Columns = []rows.Column{{Name: settingName(stmt), OID: pgvalue.OIDText}}
	}
	p.ParamTypes = stmt.ParamTypes(given, nil)
	return p, nil
}
