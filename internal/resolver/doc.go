// Package resolver turns what is known about a request into one of three
// outcomes: done, not run, unknown.
//
// A commit is placed between two positions: it lies past Lower, which the
// primary had reached before the request was sent, and at or before Upper,
// which the primary reported after the commit. The lineage of a later
// established term then tells whether the commit survived.
package resolver
