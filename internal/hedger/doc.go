// Package hedger limits how many additional tries the reads of a service may cause.
//
// A read that has no answer in time is sent to a second server as well, and one whose
// answer was lost or a failure is tried elsewhere. If one server is slow or fails, this
// serves its callers; if all are slow, it would double the load that makes them slow.
// Each instance pays these tries from a budget per service, which grows with its reads.
package hedger
