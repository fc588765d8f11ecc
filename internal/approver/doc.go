// Package approver holds the envelopes that carry manifest parts and the
// operations by which two co-owners put a revision in force.
//
// An [Envelope] binds part, revision, predecessor, owners revision and
// content. Approvals are Ed25519 signatures over all of these and over the
// approving owner's name and key. An envelope is proven when two different
// co-owners of its owners revision approved it. The revisions of the part
// "owners" form a [Chain] from the genesis keys in settings; each revision is
// approved by both co-owners of its predecessor.
//
// [Proposals] runs the operations over a store that is not trusted: what it
// returns is verified, and every step is one compare-and-swap transaction that
// can be repeated or withdrawn by anyone when its author dies.
package approver
