// Package rewriter words the SQL that the proxy runs on behalf of a caller, and rewrites the
// statements of callers that use settings of the proxy.
//
// A request key names a request of a caller, so that the request runs at most once and its
// outcome can be read later. SET LOCAL marigold.request_key inside a transaction is replaced by
// an INSERT into table marigold_request, which commits with the transaction and fails if the
// key exists. The outcome of a request without a row is settled by an INSERT of its key with
// outcome "not_run": after that the request can never commit.
//
// Invariants:
//
//   - A value of a caller never escapes from its literal: request keys and settings have no
//     backslash, so a literal is the same under every setting of standard_conforming_strings.
//   - Rewriting leaves all other text of a query as it is.
package rewriter
