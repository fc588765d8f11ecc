// Package tracker derives the state of database groups from the statuses that
// their servers report: which term is established, who leads it, which log
// positions are confirmed and how old the data on each replica is.
//
// Vocabulary:
//
//   - A [Position] is a pair (term, offset). Offsets count the records of the
//     whole log and are never reused within one lineage.
//   - The [Lineage] of a log lists the terms of its records, with the offset at
//     which each term starts.
//   - A position is confirmed when a majority of the group stores it in its own
//     term. A confirmed position is part of every later lineage.
//   - A term is established when its first record is confirmed. The established
//     term of a [Tracker] never decreases.
//   - A confirmation is fresh if its statuses were requested after it was asked
//     for. It shows that nothing was confirmed in a later term before.
//   - A read index is the log end of the current primary at the time of a
//     request. Once confirmed, it covers everything that was confirmed before the
//     request.
//
// A [Tracker] takes observations and answers waits for confirmations ([Waiter]).
// [State] is a snapshot for promotions, [View] one for routing; other instances
// receive views from the instance that monitors the group.
//
// All types except Tracker and Waiter are values that are not changed in place:
// methods named With return a changed copy.
package tracker
