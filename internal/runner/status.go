package runner

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
func (x *Exchange) receiveStatus() error {
	for range maxStatusQueries {
		row, err := x.readStatus()
		if err != nil {
			return err
		}
		if row != nil {
			x.Row = row
			x.cfg.Certifier.RecordStatus(*row)
			return nil
		}
		x.Conn.Send(&pgproto3.Query{String: prober.StatusQuery})
		if err := x.flush(); err != nil {
			return err
		}
	}
	return Lost("backend server %s returned no status row", x.Conn.Server())
}

// readStatus reads one answer to the status query. The row is nil when the
// server answered with an error.
func (x *Exchange) readStatus() (*tracker.Status, error) {
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
				return nil, &LostError{err}
			}
		case *pgproto3.DataRow:
			s, err := columns.Parse(m)
			if err != nil {
				return nil, &LostError{err}
			}
			row = &s
		case *pgproto3.ErrorResponse:
			row = nil
			if resolver.IsFatal(m) {
				return nil, Lost("backend server %s: %s", x.Conn.Server(), m.Message)
			}
		case *pgproto3.ReadyForQuery:
			return row, nil
		}
	}
}

// Rows is the answer to one of the proxy's own queries.
type Rows struct {
	Values [][]string
	// Err is the error of the statement, nil if it succeeded.
	Err *pgproto3.ErrorResponse
	// Status is the transaction status after the query.
	Status byte
}

// Query runs one of the proxy's own statements.
func (x *Exchange) Query(text string) (Rows, error) {
	x.Conn.Send(&pgproto3.Query{String: text})
	if err := x.flush(); err != nil {
		return Rows{}, err
	}
	var r Rows
	for {
		msg, err := x.receive()
		if err != nil {
			return Rows{}, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			r.Values = append(r.Values, rowTexts(m))
		case *pgproto3.ErrorResponse:
			e := *m
			r.Err = &e
			if resolver.IsFatal(m) {
				return Rows{}, Lost("backend server %s: %s", x.Conn.Server(), m.Message)
			}
		case *pgproto3.ReadyForQuery:
			r.Status = m.TxStatus
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

// AskStatus sends a status query and reads its answer.
func (x *Exchange) AskStatus() error {
	x.Conn.Send(&pgproto3.Query{String: prober.StatusQuery})
	if err := x.flush(); err != nil {
		return err
	}
	return x.receiveStatus()
}
