// Package approver defines the signed envelopes that carry manifest parts and
// the operations by which two co-owners activate a revision of a part.
//
// Vocabulary:
//
//   - A part is one customer's manifest, or the part "owners", which lists the
//     co-owners' public keys.
//   - An [Envelope] is one revision of a part. An [Approval] is a co-owner's
//     Ed25519 signature over the envelope's part, revision, predecessor, owners
//     revision and content, and over the owner's name and key ID.
//   - An envelope is verified when the signatures of all its approvals are valid
//     and both co-owners of its owners revision have approved it.
//   - The owners chain ([Chain]) is the sequence of verified revisions of the
//     part "owners". It begins with the genesis keys from the settings; each
//     revision is approved by both co-owners of the revision before.
//   - A [Proposal] is an envelope that waits for approvals. A part has at most
//     one.
//   - The active revision of a part is its newest verified one. Messages for
//     operators say that it is in force.
//
// [Proposals] runs the operations: propose, review, approve and withdraw. It
// relies on these rules:
//
//   - The store is not trusted: every envelope it returns is verified before use.
//   - Every step is one compare-and-swap transaction. Any operator can repeat it
//     or withdraw the proposal when the process that began it has stopped.
//   - A revision number is given out once, even if its proposal is withdrawn.
//   - Parts that use the same group, database or caller name are never active
//     together.
package approver
