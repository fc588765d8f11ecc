// Package classifier tells what the statements of a query text do, as far as
// routing needs to know it.
//
// The analysis uses PostgreSQL's own parser. A text counts as a read only if
// that is proved: every statement is a SELECT without locking clause, INTO or
// data-modifying CTE, and calls only functions of a fixed list. A text that
// does not parse is passed to the primary unchanged, so that the server
// reports its own error.
//
// Results are immutable and are cached per text within bounds.
package classifier
