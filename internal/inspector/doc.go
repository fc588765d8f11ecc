// Package inspector finds out how far replicas that are behind have applied the log, and how
// long requests wait at the busy servers.
//
// The first gateway of a server schedules its work, and so knows the wait there; standby
// gateways know nothing of it. It also sees the positions in the server's answers. An
// [Inspector] reports both for the servers that its instance schedules; package surveyor
// carries the reports to all instances.
//
// A replica is reported while it is behind. Reads leave a replica that is reported to be
// behind, so that its answers would end; it is then asked for its position until it has
// caught up. A calm fleet is asked nothing and reports nothing.
package inspector
