// Package exchangertest is a database group in memory, for tests of the
// packages that decide on statements. It has the servers' terms, positions,
// pauses and acknowledgements, without a network.
package exchangertest
