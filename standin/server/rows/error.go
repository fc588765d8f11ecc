package rows

import (
	"context"
	"errors"
	"strings"

	"modernc.org/sqlite"
	sqlite3 "modernc.org/sqlite/lib"
)

// Error is an error with its SQLSTATE.
type Error struct {
	// Code is the SQLSTATE.
	Code    string
	Message string
}

func (e *Error) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// newError gives an error of the driver its SQLSTATE.
func newError(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return &Error{Code: "57014", Message: "canceling statement due to user request"}
	}
	var se *sqlite.Error
	if !errors.As(err, &se) {
		return &Error{Code: code(0, err.Error()), Message: err.Error()}
	}
	return &Error{Code: code(se.Code(), se.Error()), Message: se.Error()}
}

func code(rc int, message string) string {
	switch rc {
	case sqlite3.SQLITE_CONSTRAINT_UNIQUE, sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY, sqlite3.SQLITE_CONSTRAINT_ROWID:
		return "23505"
	case sqlite3.SQLITE_CONSTRAINT_NOTNULL:
		return "23502"
	case sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY:
		return "23503"
	case sqlite3.SQLITE_CONSTRAINT_CHECK:
		return "23514"
	}
	switch rc & 0xff {
	case sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED:
		return "40001"
	case sqlite3.SQLITE_INTERRUPT:
		return "57014"
	case sqlite3.SQLITE_READONLY:
		return "25006"
	case sqlite3.SQLITE_MISMATCH:
		return "22P02"
	case sqlite3.SQLITE_CONSTRAINT:
		return "23000"
	}
	return codeOfMessage(message)
}

func codeOfMessage(message string) string {
	cases := []struct{ part, code string }{
		{"no such table", "42P01"},
		{"no such column", "42703"},
		{"has no column named", "42703"},
		{"no such function", "42883"},
		{"already exists", "42P07"},
		{"syntax error", "42601"},
		{"incomplete input", "42601"},
		{"unrecognized token", "42601"},
		{"missing argument", "08P01"},
		{"no such savepoint", "3B001"},
	}
	for _, c := range cases {
		if strings.Contains(message, c.part) {
			return c.code
		}
	}
	return "XX000"
}
