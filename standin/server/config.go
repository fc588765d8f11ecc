package server

import (
	"crypto/tls"
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures a server.
type Config struct {
	// Name is the server's name in the manifest.
	Name string
	// Listen is the address for clients, "127.0.0.1:0" if empty.
	Listen string
	// ReplicationListen is the address for followers, "127.0.0.1:0" if empty.
	ReplicationListen string
	// Control is the address of the control port; there is none if it is
	// empty.
	Control string
	// Dir holds log, state and rows.
	Dir string
	// ConnectionLimit is the highest number of client connections, 0 for no
	// limit.
	ConnectionLimit int
	// OpenDelay is added to the time to open a connection.
	OpenDelay time.Duration
	// ApplyDelay is the age at which a replica applies a record.
	ApplyDelay time.Duration
	// InitialPrimary makes a server with an empty Dir the primary of term 1.
	InitialPrimary bool
	// Follow is the replication address of the primary that a server with an
	// empty Dir follows.
	Follow string
	// Peers maps server names to replication addresses. A server that is told
	// to follow a known server uses this address in place of the given one.
	Peers map[string]string
	// LocalIP is the source of outgoing connections, empty for any.
	LocalIP string
	// Password, if not empty, is required of every user by SCRAM-SHA-256.
	Password string
	// TLS accepts TLS connections if it is not nil.
	TLS *tls.Config
	// Log is the logger, the standard logger if it is nil.
	Log *logrus.Logger
}
