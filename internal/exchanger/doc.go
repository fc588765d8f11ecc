// Package exchanger defines the statements and answers that callers, instances
// and backend servers exchange, independently of any wire protocol.
//
// A [Statement] is one request with its ID; an [Answer] is everything that came
// back for it. A [Dialer] opens a [Conn], which carries statements to one backend
// server. Codecs, such as the one of package platform, translate these types to a
// protocol. Packages that decide where and when statements run use only these
// types.
//
// The servers of a service form a group. One of them, the primary, leads a
// numbered term and takes the writes; replicas receive its log. A log position
// ([tracker.Position]) is a term and an offset. A statement can require a minimum
// position of the server that runs it. A [Report] is a server's own view of its
// role, term and log.
//
// The [Code] of an answer tells whether the statement was executed. A server that
// answers with one of the codes for which [Code.IsNotExecuted] holds has kept
// nothing of the statement. An instance may answer a caller with a code for which
// [Code.GuaranteesNoEffect] holds only if nothing of the caller's request is kept.
// A statement without an answer ([ErrConnectionLost]) may have been executed.
package exchanger
