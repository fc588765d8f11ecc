// Package loader drives callers against entry instances and records what each
// of them was told.
//
// A [Caller] is one session. It goes on across connections: when an instance
// fails, it connects to another one. It uses pgx, so that a real driver is
// tested, and writes each operation into a [History] that package examiner
// checks.
package loader
