package session

import (
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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
	Faults    *Faults
	Log       *logrus.Entry
}

// Faults are faults that tests switch on.
type Faults struct {
	// Slow delays each statement, in nanoseconds.
	Slow atomic.Int64
	// LoseAnswer counts the next commits that take effect without an answer.
	LoseAnswer atomic.Int64
}

// takeLoss reports whether the answer of this commit is lost.
func (f *Faults) takeLoss() bool {
	for {
		n := f.LoseAnswer.Load()
		if n <= 0 {
			return false
		}
		if f.LoseAnswer.CompareAndSwap(n, n-1) {
			return true
		}
	}
}
