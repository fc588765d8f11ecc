// Package sqltext splits PostgreSQL statements into tokens, classifies them and
// translates them to the dialect of the row store.
//
// Only what tests and demonstrations need is translated: placeholders $n,
// casts, row locks, serial keys and a few names. Casts are removed and kept as
// type hints.
package sqltext
