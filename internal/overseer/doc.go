// Package overseer runs one task for each database group of the catalog.
//
// One instance of the cluster has the monitor role for a group; rendezvous
// hashing over the members assigns it. On that instance the task probes the
// servers, keeps a tracker.Tracker and runs a promoter.Promoter. On the others
// it follows the monitor with long-polled WatchGroup calls. Either way it keeps
// the newest [tracker.View] of the group in a group state, which callers read
// with [Overseer.View].
//
// Invariants:
//
//   - A view with a lower established term never replaces one with a higher term.
//   - Two instances may both believe that they have the monitor role. This is
//     safe: both report facts read from servers, and terms make concurrent
//     promotions safe.
//   - A reconfiguration, which is a change of a group's server list, is applied
//     only if it changes at most one server and the primary is established under
//     the old list. Otherwise the old list stays in use.
//   - A monitor that loses its quorum (fewer than a majority of the servers are
//     reachable) declines the role for a time, because another instance may
//     reach the servers.
//
// For a planned change of primary the monitor sets the draining mark of the view.
// All instances then pause new work on the primary, and the others report to the
// monitor how many transactions they still have in flight there.
package overseer
