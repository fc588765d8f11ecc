// Package pgvalue converts between PostgreSQL wire values and the values of
// the row store (nil, int64, float64, string, []byte).
//
// Booleans are stored as 0 and 1, timestamps as text in UTC. Types without a
// conversion travel as text.
package pgvalue
