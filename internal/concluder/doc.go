// Package concluder decides, after the last response of an exchange or the loss of its
// connection, what becomes of the connection and what the caller is answered.
//
// A [Verdict] without a failure says that the answer in the output buffer is final. Otherwise
// the answer has been dropped, and the failure takes its place unless the batch may and will be
// run again.
//
// Invariants:
//
//   - The answer to a commit or to a strict read is final only when its position is confirmed.
//   - A batch is retried only if nothing of its answer was passed on and it is
//     proved that it had no effect.
//   - An error after a batch that may have committed says that the outcome is
//     unknown, unless the outcome is proved.
//   - A request key that exists already decides its request by the outcome that is stored for
//     it, read like a strict read.
package concluder
