// Package confirmer answers whether a position of a database group is
// confirmed: stored by a majority in its own term.
//
// Commits are acknowledged and strict reads are answered only after a
// confirmation. A fresh confirmation is one whose proof began after the call;
// it shows that no later primary had acknowledged anything before the call.
package confirmer
