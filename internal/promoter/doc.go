// Package promoter detects the failure of a database group's primary and
// promotes another server. It also carries out planned changes of primary.
//
// A [Promoter] runs on the instance that monitors the group. It reads the state
// that a tracker.Tracker derives from status probes, and sends commands to the
// servers through a [Commander].
//
// An attempt to promote a server has these steps:
//
//  1. Fence: ask all servers to accept a new term. A server that accepted a term
//     rejects records and commands of earlier terms. A majority must accept.
//  2. Choose the fenced server whose log ends at the highest position. Any
//     majority contains a server that stores every confirmed record.
//  3. Promote it, and tell the other servers to follow it.
//  4. Wait until the term is established, that is until the first record of the
//     term is confirmed (stored by a majority).
//
// Safety depends on terms alone: any number of promoters may run at once, and a
// promoter may stop after any step. Each attempt has an identifier of its own,
// so not even two attempts of one instance can promote servers in the same term.
//
// A planned change ([Plan], wanted by a [Planner]) first pauses new work on the
// primary and waits until the target has caught up.
//
// An orphaned fence is a fence of a term that nobody leads while the established
// primary still serves, because the promoter that sent it stopped. Replication
// is stalled when the primary's records reach no majority and no replica's log
// advances. Both lead to a new promotion; after a stall only if a majority without
// the primary is reachable, and with a backoff.
package promoter
