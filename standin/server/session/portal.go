package session

import (
	"database/sql/driver"

	"marigoldhub.example/hub/standin/server/executor"
)

// portal is a bound statement.
type portal struct {
	*executor.Prepared
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
	statements []*executor.Prepared
}

// maxPlans bounds the simple queries that a session remembers.
const maxPlans = 256
