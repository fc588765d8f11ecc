// Package chooser chooses the server for a read that need not run at the primary.
//
// Such a read has a minimum position: a log position derived from the route's staleness and
// from the session's own commits, which its server must cover. A [Chooser] collects what is
// known of the service's servers, and package placer chooses among them: replicas that lack
// the position are passed over, servers that are set aside get reads only now and then, and
// a read leaves its availability zone when that saves enough time. A read that no server
// could run is refused with the time when one probably can.
//
// A wrong choice costs time and breaks no promise: the server itself checks the position.
package chooser
