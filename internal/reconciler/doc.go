// Package reconciler keeps a backend for each server that is listed.
//
// Whenever the list of servers or of instances changes, and at a fixed interval, a
// [Reconciler] opens pools for new servers, closes those of servers that have left, and
// gives each server its ranking of gateways and this instance's share of the connections.
// With more instances than the server allows connections, only its gateways hold some;
// package placer computes how many. Idle connections beyond the share are closed.
//
// A server that returns with another address, or after a restart, is a new one. The health
// of a server that is not listed is kept for a while: the service's primary may have failed
// while it was not listed; package replacer reads this health.
package reconciler
