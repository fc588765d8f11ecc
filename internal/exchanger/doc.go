// Package exchanger defines what callers, instances and backend servers say to
// each other, free of any wire protocol.
//
// A [Statement] is one request with its identifier; an [Answer] is everything
// that came back for it. A [Conn] carries statements to one backend server.
// Codecs translate these types to a protocol; decisions use only these types.
//
// A [Code] tells whether a statement ran. [Code.IsNotRun] holds for the codes
// with which a server proves that it kept nothing of the statement.
package exchanger
