package pooler

import "testing"

// ScriptedServer is the scripted server for the tests of package pooler_test.
type ScriptedServer = scriptedServer

// StartServer starts a scripted server with a limit of connections.
func StartServer(t testing.TB, limit int) *ScriptedServer {
	s := startServer(t, "")
	s.limit.Store(int64(limit))
	return s
}

// Address returns the "host:port" of the server.
func (s *scriptedServer) Address() string { return s.address() }

// Open returns the number of client connections.
func (s *scriptedServer) Open() int { return s.open() }

// Run executes a query.
var Run = run
