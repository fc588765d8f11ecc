// Package delegator runs statements for a backend server through its gateways.
//
// [Delegator.Acquire] returns a connection to the server of the kind that it needs: one of
// this instance, or a [Conn], which looks like a connection to the server. Its first
// statement chooses a gateway, and goes to the next one while a gateway proves that it did
// not run the statement. The gateway schedules all work of the server: a refusal of its
// queue is the server's and ends the search. If this instance is the chosen gateway, or none
// can be reached, the statement runs on a connection of this instance. While a transaction
// is open it stays at its gateway, which pins a connection under the transaction's id.
//
// Outcomes. An error that wraps [exchanger.ErrNotSent] means that nothing ran. After any
// other one the statement may have run: the caller decides whether it may run again. Errors
// that wrap [connector.ErrGateway] say nothing about the server. A read or a begin whose
// caller leaves is withdrawn from the gateway; writes and statements of open transactions
// are not, because their outcome would be unknown.
package delegator
