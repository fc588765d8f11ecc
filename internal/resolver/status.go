package resolver

import (
	"fmt"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/tracker"
)

// StatusQuery returns one status row of the backend server.
const StatusQuery = "SELECT * FROM marigold_group_status()"

// StatusColumns finds the columns of a status row by name.
type StatusColumns map[string]int

// NewStatusColumns reads the column names of a row description.
func NewStatusColumns(d *pgproto3.RowDescription) StatusColumns {
	c := make(StatusColumns, len(d.Fields))
	for i, f := range d.Fields {
		c[string(f.Name)] = i
	}
	return c
}

// Decode reads a status row in text format.
func (c StatusColumns) Decode(row *pgproto3.DataRow) (tracker.Status, error) {
	d := statusDecoder{columns: c, row: row}
	s := tracker.Status{
		Server:      d.text("server"),
		Role:        tracker.Role(d.text("role")),
		Term:        d.number("term"),
		Promoter:    d.text("promoter"),
		Log:         tracker.Position{Term: d.number("log_term"), Offset: d.number("log_offset")},
		Leaving:     d.text("leaving") == "t",
		Connections: int(d.number("connections")),
	}
	lineage, err := tracker.ParseLineage(d.text("lineage"))
	if d.err == nil {
		d.err = err
	}
	s.Lineage = lineage
	return s, d.err
}

type statusDecoder struct {
	columns StatusColumns
	row     *pgproto3.DataRow
	err     error
}

func (d *statusDecoder) text(column string) string {
	i, ok := d.columns[column]
	if !ok || i >= len(d.row.Values) {
		if d.err == nil {
			d.err = fmt.Errorf("status row has no column %q", column)
		}
		return ""
	}
	return string(d.row.Values[i])
}

func (d *statusDecoder) number(column string) uint64 {
	n, err := strconv.ParseUint(d.text(column), 10, 64)
	if err != nil && d.err == nil {
		d.err = fmt.Errorf("status row: column %q: %w", column, err)
	}
	return n
}
