// Package director decides where a batch runs and how often it is tried.
//
// A batch runs on the connection that the session retains, or on the primary. A batch of proved
// reads outside a transaction whose tables all accept data of a stated age may run on a replica:
// package router chooses it, and the answer is used only if the replica proves that it covers the
// read. If no replica serves it, the primary does.
//
// Invariants:
//
//   - A batch runs again on the primary only if the conclusion of its last run allows that, a few
//     times at most, and only while the retry budget of the instance allows it. A read that no
//     replica served runs on the primary even if the budget is used up.
//   - A batch of a session with state on its connection runs nowhere else.
//   - When a batch ends without a failure, its whole answer is in the output, or its connection
//     is retained until Sync.
package director
