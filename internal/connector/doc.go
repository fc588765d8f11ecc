// Package connector gives requests connections to one backend server.
//
// A [Backend] is the server as this instance uses it: its entry in the list of servers, a
// pool of connections, the slots, the ranking of its gateways and an observer of its
// answers. A slot is the right to run one request at the server; an instance hands out as
// many as the server runs requests at a time.
//
// A [Request] says whose statements will run, how urgent they are and how long they may
// wait. It is admitted only if it would probably be answered in time: a server that is
// silent or drained, a primary whose commits are not acknowledged and a queue that is too
// long refuse it at once, with an error that says so. Statements of an open transaction get
// a slot at once, because others may wait for its end.
//
// A [Conn] is a connection of this instance, an [OwnConn], or one through a gateway, which
// package delegator provides. Whoever gets one releases it exactly once.
package connector
