// Package prober talks to the control interface of backend servers.
//
// The interface is SQL over the PostgreSQL protocol; the query texts and the
// status row are in dialect.go, the only place to change for another
// mechanism. A [Conn] is one authenticated connection. A [Prober] keeps one
// connection to one server, probes its status, hands the statuses to a
// tracker, and carries the promoter's commands between probes.
package prober
