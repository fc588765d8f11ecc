// Package distributor holds the active manifest at one instance and spreads
// new revisions of it to the other instances.
//
// The manifest consists of parts, one per customer, and of the part "owners".
// A revision of a part is an envelope: content that two co-owners have signed.
// The owners revisions form a chain that starts at the genesis keys of the
// settings and tells whose signatures count.
//
// Neither the store nor other instances are trusted: an envelope is verified
// against the owners chain before it is used. Each part has
//   - the newest verified revision, which only ever advances;
//   - the active revision, which the instance works by: the newest verified
//     one whose content is valid and has no name conflict with another part.
//     The events, metrics and reports call it the revision "in force".
//
// Two verified envelopes of one revision with different content are a conflict,
// which is reported; the first one stays.
//
// New revisions arrive in three ways:
//   - One instance per availability zone, the zone watcher, watches the store
//     and pushes new envelopes to the members of its zone and to one member of
//     each other zone, which pushes them to its own zone.
//   - Anti-entropy: every second, each instance compares digests with one
//     random peer and fetches what is newer there. The digest is a SHA-256 over
//     the names and newest verified revisions of all parts.
//   - Initial sync: a started instance reads the store directly and compares
//     digests until it has taken in everything that the store or one peer holds.
//
// A store that was restored from a copy has lost later revisions. The zone watchers
// write them back when they read the store, before operators get the numbers of these
// revisions again.
//
// Nothing is written to disk.
package distributor
