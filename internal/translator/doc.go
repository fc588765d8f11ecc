// Package translator translates the extended-protocol messages of one batch for the server
// connection on which the batch runs, and its responses back.
//
// Prepared statements exist on server connections under names of the proxy (package preparer),
// so that callers can share connections. A [Translator] replaces the caller's names, prepares
// statements that the connection lacks, and answers messages itself that need no server.
//
// The responses that are still to come are kept in order: a hidden one belongs to a message that
// the proxy added, and a synthetic one is inserted by the proxy at its place.
//
// Invariants:
//
//   - The caller gets one response for each message, in order, and none for those of the proxy.
//   - The caller's prepared statements change only by [Translator.Apply], when the answer is
//     final, because the batch may be run again.
//   - A server-side statement is never closed, as other callers may use it.
package translator
