// Package executor runs the statements of one client session: reads, writes,
// transaction control, settings and the group functions.
//
// Outside of a block, the statements up to [Executor.EndImplicit] form an
// implicit transaction, as in PostgreSQL. A block reads the newest committed rows
// with each statement and takes the writer with its first write; with ISOLATION
// LEVEL REPEATABLE READ or SERIALIZABLE it reads one snapshot, and a write after
// a concurrent commit fails with 40001.
package executor
