// Package enroller maintains the membership of the entry instances: which of
// them are alive, and which one holds each role.
//
// A member is alive while this instance has received a message directly from
// it, a heartbeat or an answer to one, within the failure timeout. Heartbeats
// are sent to peers, which are addresses from the seeds, from the platform's
// instance list, from the member lists in heartbeats, and of instances that
// sent a message. These lists only add peers and mark members as leaving; they
// never make a member alive.
//
// A role is a task that one instance is to perform, such as the monitor of a
// group. Rendezvous hashing over the live members that are not leaving chooses
// its holder, so the failure of a member moves only the roles that it held.
// Two instances may disagree about the holder for a short time, so every role
// must be safe when two instances hold it at once.
package enroller
