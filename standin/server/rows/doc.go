// Package rows stores the rows of a backend server stand-in in SQLite, in
// write-ahead mode, so that many connections read while one writes.
//
// A store holds one generation of the rows. Rebuilding starts a new generation
// in a new file; connections of an older generation keep reading the old file
// until they close.
package rows
