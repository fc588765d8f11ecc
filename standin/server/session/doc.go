// Package session serves PostgreSQL client connections of a backend server
// stand-in: startup, the simple and the extended protocol, and cancel requests.
// Package executor runs the statements.
package session
