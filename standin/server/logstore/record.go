package logstore

import (
	"database/sql/driver"
	"slices"
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// Statement is one write statement in the dialect of the row store.
type Statement struct {
	SQL  string  `json:"sql"`
	Args []Value `json:"args,omitempty"`
	// Schema is set for statements that change the schema.
	Schema bool `json:"schema,omitempty"`
}

// DriverArgs returns the parameters as driver values.
func (s Statement) DriverArgs() []driver.Value {
	args := make([]driver.Value, len(s.Args))
	for i, v := range s.Args {
		args[i] = v.Driver()
	}
	return args
}

// Record is one committed write transaction. A record without statements marks
// the start of a term.
type Record struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
	// AtMicros is the commit time on the primary in microseconds of Unix time.
	AtMicros   int64       `json:"at_us"`
	Statements []Statement `json:"statements,omitempty"`
}

// Position returns the place of the record in the log.
func (r Record) Position() tracker.Position {
	return tracker.Position{Term: r.Term, Offset: r.Offset}
}

// At returns the commit time on the primary.
func (r Record) At() time.Time { return time.UnixMicro(r.AtMicros) }

// ChangesSchema reports whether a statement of the record changes the schema.
func (r Record) ChangesSchema() bool {
	return slices.ContainsFunc(r.Statements, func(s Statement) bool { return s.Schema })
}
