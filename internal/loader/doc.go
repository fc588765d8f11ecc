// Package loader generates load: it runs callers against entry instances, or
// directly against backend servers, and records what each caller was told.
//
// A [Caller] is one client session. It continues across connections: when an
// instance fails, it connects to another one. It uses the driver pgx, so that
// the protocol is tested with a real client. It writes each operation into a
// [History], which package examiner checks.
//
// A [Workload] runs a number of callers, each of which repeats operations drawn
// at random from a [Mix].
package loader
