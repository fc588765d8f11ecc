// Package node is the replicated state of one backend server stand-in: term,
// role, log, rows and asynchronous replication.
//
// Node.mu orders everything that a status row shows. A commit makes its rows
// visible and appends its record under the lock, and a fence takes its term
// under the same lock, so no record of an older term enters the log after a
// fence has returned. Each change of term or role starts a new epoch; work that
// began in an older epoch cannot commit, store or stream any more.
//
// A follower stores a received record at once and applies it when it is as old
// as the apply delay. Fences, promotions and truncations concern stored records;
// reads see applied ones. A truncation starts a new generation; records that
// were read in an older generation are not applied.
package node
