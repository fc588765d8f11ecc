// Package attester knows which backend server leads a service, and proves it.
//
// The proof rests on two rules of package replacer. A change of primary takes
// effect only after its [Leader] has stepped down or every replica has been
// paused for a later term. So, if a replica and the leader both report that
// they know no later term, no later primary had acknowledged anything when they
// were asked. A read that arrived before they were asked, and ran at the
// leader, shows every commit that was acknowledged before it.
//
// The holder of the duty also promises, for a moment at a time, that it will
// not change a primary; see [Group.Permit]. Such a promise proves the same
// without a question to the servers. The questions remain for the times without
// a holder.
//
// A [Sample] is a position of the leader with the time before it was asked for,
// kept only with such a proof. A read that covers the sample shows every commit
// acknowledged before that time.
//
// A replica that restarted forgets that it was paused. One that this instance
// has known for less than [establishedAfter], and that does not say that it
// started longer ago than [oldAfter], is therefore no witness by itself.
package attester
