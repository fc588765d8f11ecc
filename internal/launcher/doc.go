// Package launcher is the program marigold-entry: it reads and checks a
// settings file, builds an entry instance from it, and stops the instance
// gracefully.
//
// Vocabulary:
//
//   - An entry instance accepts PostgreSQL connections of callers and serves
//     them from the database groups of the active manifests. It keeps nothing
//     on disk.
//   - A component is an object that the instance is made of and that has
//     listeners, connections or goroutines of its own: messenger (calls between
//     instances), membership, distributor (manifests), overseer (state of the
//     groups), divider (shares of a server's connections), pooler, confirmer,
//     relayer, gatekeeper (callers) and reporter (administration API).
//   - The genesis file names the co-owners' first keys, from which all later
//     manifests are verified.
//
// Invariants:
//
//   - Settings are checked completely, with all findings reported at once,
//     before a socket is opened. All listeners are open before a component
//     starts, so that a wrong address fails at once.
//   - Components start in the order of their dependencies. Callers are accepted
//     only once a verified manifest is active.
//   - A graceful shutdown first reports the instance as not ready, so that the
//     balancer sends callers elsewhere, then announces that it leaves, and then
//     ends sessions as they become idle outside a transaction.
package launcher
