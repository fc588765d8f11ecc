// Package classifier determines what the statements of a query text do, as far
// as the proxy needs to know: whether they are reads and of which tables, whether
// they start or end a transaction, which settings they change, and whether they
// pin the connection.
//
// A statement pins the connection if it leaves state in the server connection
// beyond its transaction, such as a session setting, an advisory lock or a
// temporary table.
//
// The analysis uses PostgreSQL's own parser. A statement is classified as a
// read only if that is certain: it is a SELECT without locking clause, INTO or data-modifying CTE,
// and it calls only functions of a fixed list. A text that does not parse goes
// to the primary unchanged, so that the server reports its own error. A text
// that could overflow the parser's stack is not parsed.
//
// Results are immutable and are cached by text within limits.
package classifier
