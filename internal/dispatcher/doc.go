// Package dispatcher runs callers' statements on backend servers: it picks the
// server, waits for a connection, retries what was not run, and reports the
// outcome truthfully.
//
// Routing. Writes, and reads that must show every acknowledged commit, run at the
// primary, which package attester finds. Such a read is valid only if the server
// was still the primary when the read arrived at this instance: either this
// instance holds a primary lease, or a replica confirms it. Other reads run at
// any server that covers a minimum position, a log position derived from the
// route's staleness and from the session's own commits; if the first server does
// not answer, a second one is asked as well (a hedged read).
//
// Gateways. With more than one instance, each server has a few gateways: instances
// that hold connections to it and run the statements of the others. Statements go
// to the first reachable gateway, which schedules all work of the server. It pins
// a connection to each open transaction of another instance.
//
// Slots. An instance runs at most as many requests at a server at a time as the
// server has slots, except that statements of open transactions never wait. Other
// requests wait in the order of their urgency, or are refused if they would be late.
//
// Outcomes. A statement that no server ran is refused with a code that guarantees
// it. A read may run again elsewhere when its answer is lost. A write, or the
// commit of a transaction that wrote, ends with [exchanger.UnknownOutcome] when
// its answer is lost, and is never sent again. A transaction that breaks before
// its commit was sent is aborted: its server rolls back when the connection
// closes.
//
// The packages, in the order in which a statement passes through them: this package decides
// whether a statement runs at the primary or anywhere, and how often it is tried; package
// transactor does so for transactions. Package chooser finds the server of a read,
// attempter makes one attempt and words refusals, committer answers commits. Below them,
// delegator gives a connection, of this instance (connector) or through a gateway that
// selector knows; executor is the gateway's side. Package reconciler keeps the servers,
// observer what their answers show; appraiser grades them, inspector reports replicas that
// are behind, querier asks them on behalf of the instance. [Dispatcher] builds these parts.
package dispatcher
