// Package preparer keeps the prepared statements of each caller.
//
// Server connections are shared by callers, so the name that a caller gives to a
// statement cannot be used at the server. Instead, a named statement gets a
// server name that depends only on its text and its parameter types. If two
// callers prepare the same statement, a server connection has it only once.
package preparer
