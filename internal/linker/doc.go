// Package linker keeps an instance's connections to one backend server.
//
// A [Link] carries one caller's work at a time: a statement, or a transaction
// from its first statement to its end. It remembers which session values and
// prepared statements the server holds for the connection and, before a
// caller's statement, sends what differs together with the statement.
//
// A [Pool] opens links up to its share of the server's connection limit, keeps
// idle ones open and hands them out by priority.
package linker
