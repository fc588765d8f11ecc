// Package examiner checks recorded histories of concurrent callers against the
// consistency guarantees of the proxy.
//
// A history is a list of operations, each with the monotonic times at which the
// caller began and ended it and the outcome that was reported to the caller:
// done, not executed or unknown. Each check returns the violations that it
// found; an empty list means that the history is allowed. A check that finds no
// operation to check reports that as a violation too, so that an empty run
// cannot pass.
//
// Some checks also take the final rows of a table, read after the last
// operation.
package examiner
