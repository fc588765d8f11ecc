// Package examiner checks histories of concurrent callers against the promises
// of the design page.
//
// A history is a list of operations with the monotonic times at which the
// caller began and ended them and the outcome that the caller was told. Each
// checker returns the violations it found; an empty list means that the
// history is allowed. A checker that is given no operations to judge reports
// that as a violation too, so that an empty run cannot pass.
package examiner
