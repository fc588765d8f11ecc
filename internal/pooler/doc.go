// Package pooler keeps server connections and hands each of them to one user
// at a time.
//
// The number of connections to a backend server never exceeds the grant that
// the instance holds for it. Waiting is bounded in number and time. A
// connection returns to the pool only when it is provably at rest; any other
// connection is closed.
package pooler
