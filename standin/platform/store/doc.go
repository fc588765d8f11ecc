// Package store is the key-value store of the platform stand-in: the messages
// of the etcd v3 JSON gateway and the state that they act on.
//
// All revisions since the last compaction are kept in memory. Leases expire on
// the store's own clock.
package store
