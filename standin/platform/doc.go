// Package platform is a stand-in for two platform services: the key-value
// store, spoken to over the JSON gateway of the etcd v3 API, and the list of
// instances.
//
// The store keeps its whole history in memory. Leases expire on the store's own
// clock. Faults cover outages, slowness, answers lost after their write took
// effect, and stale reads.
package platform
