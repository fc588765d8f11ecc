// Package surveyor collects how long requests wait at the backend servers, and which
// positions replicas have that are behind.
//
// The gateway that schedules a server's work knows how long a request waits there;
// the other instances send each server only about one request a second and cannot
// tell. Gateways report the waits at busy servers upwards with their requests for
// primary leases, and the responses carry all reports down to every instance, so
// that a report reaches the fleet in about 0.3 s. A server without a recent report
// is neither busy nor behind.
//
// Reports are advice: a wrong or lost one places a read badly and breaks no promise:
// the server itself checks the position that a read requires.
// A report carries its age, and a newer one about a server replaces an older one, so
// that one which is passed up and down expires like any other.
package surveyor
