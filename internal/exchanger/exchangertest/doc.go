// Package exchangertest simulates a group of backend servers in memory, for tests
// of the packages that decide on statements. A [Cluster] has the servers' terms,
// log positions, pauses and replication, without a network. A commit is
// acknowledged once a replica has received it.
package exchangertest
