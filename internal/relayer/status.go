package relayer

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/prober"
	"marigoldhub.example/hub/internal/resolver"
	"marigoldhub.example/hub/internal/tracker"
)

// maxStatusQueries limits the attempts to get a status row. One attempt fails if
// a cancel request for the statement before it hits the status query.
const maxStatusQueries = 3

// receiveStatus reads the answer to the status query, up to ReadyForQuery.
func (x *exchange) receiveStatus() error {
	for range maxStatusQueries {
		row, err := x.readStatus()
		if err != nil {
			return err
		}
		if row != nil {
			x.statusRow = row
			x.s.certifier.RecordStatus(*row)
			return nil
		}
		x.conn.Send(&pgproto3.Query{String: prober.StatusQuery})
		if err := x.flushConn(); err != nil {
			return err
		}
	}
	return connLost("backend server %s returned no status row", x.conn.Server())
}

// readStatus reads one answer to the status query. The row is nil when the
// server answered with an error.
func (x *exchange) readStatus() (*tracker.Status, error) {
	var columns prober.StatusColumns
	var row *tracker.Status
	for {
		msg, err := x.receive()
		if err != nil {
			return nil, err
		}
		switch m := msg.(type) {
		case *pgproto3.RowDescription:
			if columns, err = prober.NewStatusColumns(m); err != nil {
				return nil, &connLostError{err}
			}
		case *pgproto3.DataRow:
			s, err := columns.Parse(m)
			if err != nil {
				return nil, &connLostError{err}
			}
			row = &s
		case *pgproto3.ErrorResponse:
			row = nil
			if resolver.IsFatal(m) {
				return nil, connLost("backend server %s: %s", x.conn.Server(), m.Message)
			}
		case *pgproto3.ReadyForQuery:
			return row, nil
		}
	}
}

// rows is the answer to one of the proxy's own queries.
type rows struct {
	values [][]string
	err    *pgproto3.ErrorResponse
	status byte
}

// query runs one of the proxy's own statements.
func (x *exchange) query(text string) (rows, error) {
	x.conn.Send(&pgproto3.Query{String: text})
	if err := x.flushConn(); err != nil {
		return rows{}, err
	}
	var r rows
	for {
		msg, err := x.receive()
		if err != nil {
			return rows{}, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			r.values = append(r.values, rowTexts(m))
		case *pgproto3.ErrorResponse:
			e := *m
			r.err = &e
			if resolver.IsFatal(m) {
				return rows{}, connLost("backend server %s: %s", x.conn.Server(), m.Message)
			}
		case *pgproto3.ReadyForQuery:
			r.status = m.TxStatus
			return r, nil
		}
	}
}

func rowTexts(m *pgproto3.DataRow) []string {
	row := make([]string, len(m.Values))
	for i, v := range m.Values {
		row[i] = string(v)
	}
	return row
}

// askStatus sends a status query and reads its answer.
func (x *exchange) askStatus() error {
	x.conn.Send(&pgproto3.Query{String: prober.StatusQuery})
	if err := x.flushConn(); err != nil {
		return err
	}
	return x.receiveStatus()
}
