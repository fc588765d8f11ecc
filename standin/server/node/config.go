package node

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures a node.
type Config struct {
	Name string
	// Dir holds log, state and rows.
	Dir string
	// ReplicationListen is the address that followers connect to.
	ReplicationListen string
	// LocalIP is the source of outgoing connections, empty for any.
	LocalIP string
	// InitialPrimary makes a node with an empty Dir the primary of term 1.
	InitialPrimary bool
	// Follow is the replication address of the primary that a node with an
	// empty Dir follows, empty for none.
	Follow string
	// Peers maps server names to replication addresses.
	Peers map[string]string
	// ApplyDelay is the age at which a replica applies a record.
	ApplyDelay time.Duration
	// DropClients closes all client connections. It must not block.
	DropClients func()
	Log         *logrus.Entry
}
