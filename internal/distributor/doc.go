// Package distributor keeps the manifest parts in force at one instance and
// spreads new ones.
//
// One instance per availability zone, the zone watcher, watches the store and
// pushes new envelopes to the members of its zone and to one member of each
// other zone. Every instance also compares a digest with one random peer each
// second and fetches what is newer there.
//
// Neither the store nor peers are trusted: an envelope counts only when the
// owners chain proves it. A part only ever advances to a higher revision. Two
// proven envelopes with the same revision and different content raise an alarm
// and change nothing. Nothing is written to disk; the set holds the newest
// envelope of each part and the owners chain.
package distributor
