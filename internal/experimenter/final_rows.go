package experimenter

import (
	"context"
	"encoding/json"
	"os"

	"github.com/jackc/pgx/v5"

	"marigoldhub.example/hub/internal/examiner"
	"marigoldhub.example/hub/internal/injector"
)

// finalRows is the content of the tables after the last operation.
type finalRows struct {
	submissions, pairs, payments examiner.RowCounts
}

// readFinalRows reads the tables at the primary, past all instances.
func readFinalRows(ctx context.Context, s *injector.Scene) (finalRows, error) {
	var rows finalRows
	primary, err := s.Primary()
	if err != nil {
		return rows, err
	}
	conn, err := pgx.Connect(ctx, "postgres://examiner@"+primary.DirectAddress+"/"+s.Group+"?sslmode=disable")
	if err != nil {
		return rows, err
	}
	defer conn.Close(ctx)
	tables := []struct {
		name string
		rows *examiner.RowCounts
	}{{"submission", &rows.submissions}, {"pair", &rows.pairs}, {"payment", &rows.payments}}
	for _, t := range tables {
		if *t.rows, err = countRows(ctx, conn, t.name); err != nil {
			return rows, err
		}
	}
	return rows, nil
}

func countRows(ctx context.Context, conn *pgx.Conn, table string) (examiner.RowCounts, error) {
	result, err := conn.Query(ctx, "SELECT key FROM "+table)
	if err != nil {
		return nil, err
	}
	rows := examiner.RowCounts{}
	var key string
	_, err = pgx.ForEachRow(result, []any{&key}, func() error {
		rows[key]++
		return nil
	})
	return rows, err
}

func writeJSONFile(file string, v any) error {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}
