// Package session serves PostgreSQL client connections of a backend server
// stand-in: startup, the simple and the extended protocol, and transactions.
//
// Outside of a block, the statements of one Query message, or those up to one
// Sync, form an implicit transaction, as in PostgreSQL. A block reads the newest
// committed rows with each statement and takes the writer with its first write;
// with ISOLATION LEVEL REPEATABLE READ or SERIALIZABLE it reads one snapshot,
// and a write after a concurrent commit fails with 40001.
package session
