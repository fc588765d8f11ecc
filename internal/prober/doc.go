// Package prober connects to the control interface of backend servers: it reads
// their status and carries the commands that change their role.
//
// The control interface is SQL over the PostgreSQL protocol. Each command is a
// query of a function that returns one status row with the server's name, role,
// term and log position. All query texts and columns are in control.go, the only
// file to change for another mechanism.
//
// A [Conn] is one authenticated connection, made by a [Dialer]. A [Prober] keeps
// one connection to one server. It reads the status at an interval, or at once
// when the tracker needs a newer one, and sends the promoter's commands between
// these probes. It reports every status and every failure to a tracker.
//
// A failure is reported as a refusal if it shows that no server listens. That a
// server has no free connection is not a failure.
package prober
