package rewriter

import (
	"strings"
	"unicode"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/classifier"
	"marigoldhub.example/hub/internal/resolver"
)

// Settings of the proxy.
const (
	KeySetting     = "marigold.request_key"
	OutcomeSetting = "marigold.request_outcome"
)

// Values of column outcome of table marigold_request, and answers to SHOW
// marigold.request_outcome.
const (
	OutcomeDone   = "done"
	OutcomeNotRun = "not_run"
)

// maxKeyBytes is the length of the longest request key.
const maxKeyBytes = 200

// ValidKey reports whether key may be a request key: 1 to 200 bytes of
// printable characters without backslash.
func ValidKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for _, r := range key {
		if r == '\\' || r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// CheckKey returns the error for a key that is not valid, nil for others.
func CheckKey(key string) *pgproto3.ErrorResponse {
	if ValidKey(key) {
		return nil
	}
	return resolver.Error(resolver.CodeInvalidValue, "invalid value for marigold.request_key",
		"A request key has 1 to 200 bytes of printable characters without backslash.")
}

// UnknownSetting returns the error for a setting that the proxy does not have.
func UnknownSetting(name string) *pgproto3.ErrorResponse {
	return resolver.Error(resolver.CodeUnknownSetting, "unrecognized configuration parameter \""+name+"\"", "")
}

// quoteLiteral returns an SQL string literal of a value without backslash.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// Keys words the statements on request keys of one caller, whose name is its value.
type Keys string

// Insert returns the statement that stores a key with its outcome.
func (k Keys) Insert(key, outcome string) string {
	caller := strings.ReplaceAll(string(k), `\`, "")
	return "INSERT INTO marigold_request (request_key, outcome, caller) VALUES (" +
		quoteLiteral(key) + ", " + quoteLiteral(outcome) + ", " + quoteLiteral(caller) + ")"
}

// Select returns the statement that reads the outcome of a key.
func (k Keys) Select(key string) string {
	return "SELECT outcome FROM marigold_request WHERE request_key = " + quoteLiteral(key)
}

// Rewrite replaces each SET LOCAL marigold.request_key in a query, which consists of the
// statements, by the INSERT of the request key.
func (k Keys) Rewrite(text string, statements []classifier.Statement) string {
	var b strings.Builder
	last := 0
	for _, st := range statements {
		if !SetsKey(st) {
			continue
		}
		b.WriteString(text[last:st.Start])
		b.WriteString(k.Insert(st.Value, OutcomeDone))
		last = st.End
	}
	if last == 0 {
		return text
	}
	b.WriteString(text[last:])
	return b.String()
}

// SetsKey reports whether a statement is SET LOCAL marigold.request_key.
func SetsKey(st classifier.Statement) bool {
	return st.Kind == classifier.HubSet && st.Local && st.Setting == KeySetting
}

// CheckSettings returns an error for SET LOCAL of settings of the proxy that cannot take
// effect in a batch of the statements; inTransaction is the state before it.
func CheckSettings(statements []classifier.Statement, inTransaction bool) *pgproto3.ErrorResponse {
	for _, st := range statements {
		switch st.Kind {
		case classifier.Begin:
			inTransaction = true
		case classifier.Commit, classifier.Rollback:
			inTransaction = false
		case classifier.HubSet:
			if e := checkSetLocal(st, inTransaction); e != nil {
				return e
			}
		}
	}
	return nil
}

func checkSetLocal(st classifier.Statement, inTransaction bool) *pgproto3.ErrorResponse {
	switch {
	case !SetsKey(st):
		return UnknownSetting(st.Setting)
	case !inTransaction:
		return resolver.Error(resolver.CodeNoTransaction, "SET LOCAL marigold.request_key can only be used in transaction blocks", "")
	}
	return CheckKey(st.Value)
}
