// Package prover keeps proofs that a configuration is current.
//
// A linearizable read of the configuration that began at a time and returned a version
// proves that no version acknowledged before that time is newer. Such a [Proof] applies to
// every configuration in force with that version or a later one: what it holds was held at
// that time, or was added since. Stale reads and events of a watch prove nothing, and so
// does a read soon after the store was restored from an older copy, which may lack the
// newest version.
//
// A [Ledger] holds the proofs that an instance knows, its own and those of other
// instances. A [Refresher] decides when an instance renews them: one instance of the
// fleet, the root, reads the store at a fixed interval and its proofs are passed on with
// their ages; the others read only when nothing fresher has reached them.
//
// Neither uses a network or a clock. Times are those of a clock that counts suspensions of
// the machine.
package prover
