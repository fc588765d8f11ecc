// Package server is a stand-in for a backend database server: it speaks the
// PostgreSQL v3 protocol, keeps rows in SQLite, replicates asynchronously, and
// offers the group functions of section 3 of the design page.
//
// It exists for tests and demonstrations. Statements are replicated as text
// with parameters, so a write must not use functions whose result differs from
// server to server; now() is replaced by the time on the primary. Files are
// not synced to disk.
package server
