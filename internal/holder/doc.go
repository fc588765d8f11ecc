// Package holder elects the coordinator, the one instance that may change
// primaries, by a lease in the store.
//
// The coordinator role is a key of the store with a lease; a second key without a
// lease records the last coordinator. The period in which one instance is the
// coordinator is a tenure. Its fencing token is the store revision of the
// acquisition, so that tokens grow from tenure to tenure. The store's keys and the
// messages between instances call the coordinator role the duty, as in the key
// marigold/duty/live.
//
// Two rules keep instances from acting as coordinator at the same time:
//
//   - A coordinator counts the time of its lease from just before it sent the call
//     that granted or renewed it, on a clock that includes the time in which the
//     machine is suspended, and checks it right before each action ([Holder.Token]).
//   - The store may end a lease while its owner cannot hear of it. A new
//     coordinator therefore waits for the length of such a lease (leaseTTL) before
//     it acts, unless the last one resigned, confirms that its tenure has ended, or
//     its process is gone. If the record is of an earlier epoch of the store, the last
//     coordinator is unknown; it renewed its lease before the present epoch began.
//
// The coordinator also grants the other instances primary leases of
// [PrimaryLeaseTTL]: guarantees that no primary changes. A new coordinator waits
// for the end of these as well.
package holder
