// Package replier answers batches that need no server: statements on settings of the proxy, on
// prepared statements and on settings that are the same on all server connections.
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
