// Package enroller knows which entry instances are alive and assigns duties to
// them.
//
// A member is alive when this instance heard from it at first hand within the
// alive limit. The platform's list and the lists of peers only add candidates
// and leaving marks. A duty belongs to the member that rendezvous hashing
// chooses; two instances may disagree for a short time, so every duty is safe
// when it is held twice.
package enroller
