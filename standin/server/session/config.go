package session

import (
	"crypto/tls"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/standin/server/executor"
	"marigoldhub.example/hub/standin/server/node"
)

// Config is what all sessions of a server share.
type Config struct {
	Node     *node.Node
	Registry *Registry
	// Freeze holds every answer while it is closed.
	Freeze *node.Gate
	// TLS accepts SSLRequest if it is not nil.
	TLS *tls.Config
	// Password, if not empty, is required by SCRAM-SHA-256.
	Password string
	// ConnectionLimit is the highest number of connections, 0 for no limit.
	ConnectionLimit int
	// OpenDelay is added to the time to open a connection.
	OpenDelay time.Duration
	Faults    *executor.Faults
	Log       *logrus.Entry
}
