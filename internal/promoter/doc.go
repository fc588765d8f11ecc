// Package promoter detects the failure of a primary and promotes another
// server.
//
// A promotion fences a majority of the group with a new term, promotes the
// fenced server with the highest log end, tells the other servers to follow it
// and waits until the first record of the term is confirmed. Safety rests on
// terms alone: any number of promoters may run at once, and a promoter may
// stop after any step. Each attempt names itself with an identifier of its
// own, so that not even two attempts of one instance share a term.
package promoter
