package prober

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/tracker"
)

// StatusQuery returns the status row of a backend server. The row reflects all
// statements that precede the query on its connection.
const StatusQuery = "SELECT * FROM marigold_group_status()"

// SQLSTATEs of backend servers which prove that a statement was not executed.
const (
	// CodeReadOnly is returned for a write by a replica or a fenced server.
	CodeReadOnly = "25006"
	// CodeTooManyConnections is returned for a new connection when the server
	// has none left.
	CodeTooManyConnections = "53300"
)

func fenceQuery(term uint64, promoter string) string {
	return fmt.Sprintf("SELECT * FROM marigold_group_fence(%d, %s)", term, quote(promoter))
}

func promoteQuery(term uint64, promoter string) string {
	return fmt.Sprintf("SELECT * FROM marigold_group_promote(%d, %s)", term, quote(promoter))
}

func followQuery(term uint64, primary, address string) string {
	return fmt.Sprintf("SELECT * FROM marigold_group_follow(%d, %s, %s)", term, quote(primary), quote(address))
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// StatusColumns are the positions of the columns of a status row by name.
// Unknown columns are ignored.
type StatusColumns struct {
	index map[string]int
	count int
}

// NewStatusColumns reads the row description of a status row, whose columns must
// be in text format. It does not retain desc.
func NewStatusColumns(desc *pgproto3.RowDescription) (StatusColumns, error) {
	c := StatusColumns{index: make(map[string]int, len(desc.Fields)), count: len(desc.Fields)}
	for i, f := range desc.Fields {
		if f.Format != pgproto3.TextFormat {
			return StatusColumns{}, fmt.Errorf("status column %q is not in text format", f.Name)
		}
		c.index[string(f.Name)] = i
	}
	return c, nil
}

// Parse reads a status row. It does not retain row.
func (c StatusColumns) Parse(row *pgproto3.DataRow) (tracker.Status, error) {
	if c.count != len(row.Values) {
		return tracker.Status{}, fmt.Errorf("status row has %d values for %d columns", len(row.Values), c.count)
	}
	p := statusParser{columns: c.index, values: row.Values}
	s := tracker.Status{
		Server:   p.text("server"),
		Role:     p.role(),
		Term:     p.number("term"),
		Promoter: p.text("promoter"),
		Log:      tracker.Position{Term: p.number("log_term"), Offset: p.number("log_offset")},
		Lineage:  p.lineage(),
		Leaving:  p.text("leaving") == "t",
	}
	s.Connections = int(p.number("connections"))
	s.Applied = p.applied(s)
	return s, p.err
}

// statusParser reads the columns of one status row and keeps the first error.
type statusParser struct {
	columns map[string]int
	values  [][]byte
	err     error
}

// applied returns the log position up to which the server has applied its log.
// A server without this column applies each record as it stores it.
func (p *statusParser) applied(s tracker.Status) tracker.Position {
	const column = "applied_offset"
	if _, ok := p.columns[column]; !ok {
		return s.Log
	}
	offset := p.number(column)
	if offset > s.Log.Offset {
		p.setError(column, fmt.Errorf("%d is past the end of the log at %d", offset, s.Log.Offset))
	}
	return s.Lineage.At(offset)
}

func (p *statusParser) setError(column string, err error) {
	if p.err == nil {
		p.err = fmt.Errorf("status column %q: %w", column, err)
	}
}

func (p *statusParser) text(column string) string {
	i, ok := p.columns[column]
	if !ok {
		p.setError(column, fmt.Errorf("column is missing"))
		return ""
	}
	return string(p.values[i])
}

func (p *statusParser) number(column string) uint64 {
	n, err := strconv.ParseUint(p.text(column), 10, 63)
	if err != nil {
		p.setError(column, err)
	}
	return n
}

func (p *statusParser) role() tracker.Role {
	r := tracker.Role(p.text("role"))
	switch r {
	case tracker.RolePrimary, tracker.RoleReplica, tracker.RoleFenced:
	default:
		p.setError("role", fmt.Errorf("unknown role %q", r))
	}
	return r
}

func (p *statusParser) lineage() tracker.Lineage {
	l, err := tracker.ParseLineage(p.text("lineage"))
	if err != nil {
		p.setError("lineage", err)
	}
	return l
}
