// Package replier answers batches that are not sent to a server: statements on settings of the
// proxy, on prepared statements and on settings that are the same on all server connections. Only
// SHOW marigold.request_outcome uses a server, through [Config.Outcome].
//
// A [Replier] follows the protocol like a server, with portals of its own that end with the
// batch. Its answers are buffered in the output of the session; package planner decides which
// batches it gets.
//
// Invariants:
//
//   - A batch ends with its first error, whose answers before it stay.
//   - DISCARD ALL ends all state of the session, also that on a pinned connection.
package replier
