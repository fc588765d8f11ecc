// Package transactor runs callers' transactions, each on one server connection.
//
// A [Transaction] reaches a server with its first statement: the primary, or any server with
// the minimum position if it only reads and its route allows that. Until the begin was
// answered nothing follows it, and another server may be tried; afterwards nothing is sent
// twice. A transaction that reads at the primary is confirmed while its first statement
// runs: the server was still the primary when the transaction began.
//
// A transaction that breaks before its commit was sent is aborted, and its server rolls it
// back when the connection closes. The commit of a transaction that wrote ends as unknown
// when its answer is lost.
package transactor
