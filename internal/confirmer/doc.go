// Package confirmer answers whether a position in the log of a database group is
// confirmed, that is stored by a majority of the group in the position's own
// term. Commits are acknowledged and strict reads are answered only after a
// confirmation.
//
// A fresh confirmation has a proof that began after the call. It shows that no
// later primary had acknowledged anything before the call. A request with the
// zero position asks for a fresh confirmation of the read index, which is the
// current primary's log end.
//
// A [Chooser] confirms in one of three ways:
//
//   - [Local] uses the tracker of this instance, if it monitors the group.
//   - [Remote] asks the instance that has the monitor role for the group, which
//     answers with a [Server].
//   - [Direct] reads the statuses of the group's servers. It is used in addition
//     when the monitor has not answered for 300 ms (monitor silence).
package confirmer
