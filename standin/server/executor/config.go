package executor

import (
	"sync/atomic"

	"marigoldhub.example/hub/standin/server/node"
)

// Config configures an executor.
type Config struct {
	Node   *node.Node
	Faults *Faults
	// Statements counts executed statements.
	Statements *atomic.Int64
	// PID is the answer to pg_backend_pid().
	PID      uint32
	Database string
	// Connections returns the open connections of the server.
	Connections func() int
	// Report tells the client a changed setting.
	Report func(Setting)
	// Forget drops a prepared statement, or all if the name is empty.
	Forget func(name string)
}
