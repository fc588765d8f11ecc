// Package batcher reads the messages of one caller and puts them together into batches.
//
// A [Batch] is the unit that is run: one simple query, or messages of the extended protocol up
// to Sync or Flush. A [Reader] reads one message ahead, so that it notices while a statement
// runs that the caller has disconnected or terminated; what runs for the caller is then
// canceled.
//
// Invariants:
//
//   - A message does not refer to the buffer from which it was read.
//   - Batches are returned in the order in which they were received, and no batch is larger
//     than the limit.
//   - Input that is malformed, too large or out of order ends its own connection only.
package batcher
