// Package holder decides which instance holds the duty of changing primaries.
//
// The duty is a key of the store with a lease; a second key without a lease
// remembers the last holder. A new holder's token is the revision of its
// acquisition, so tokens grow with each change of holder.
//
// A holder counts its lease from before the call that renewed it, on a clock
// that counts suspensions, and checks it right before it acts. The store may
// take a lease away while its holder cannot hear of it. A new holder therefore
// waits a whole lease before it acts, unless the last holder gave the duty up,
// answers that it does not hold it, or its process is gone.
//
// A holder also promises the other instances, for [PromiseTime] at a time, that
// no primary changes; whoever acts next waits for the end of these promises.
package holder
