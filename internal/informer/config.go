package informer

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/storer"
)

// Schema names and decodes the records of the store.
type Schema struct {
	// ConfigurationKey holds the newest configuration; ConfigurationPrefix is
	// what is watched for it.
	ConfigurationKey, ConfigurationPrefix string
	// ServerPrefix is the prefix of the servers' entries.
	ServerPrefix string
	// DecodeConfiguration returns an error that names what cannot be read.
	DecodeConfiguration func([]byte) (*Configuration, error)
	// DecodeServer returns an error for an entry that names no server to use.
	DecodeServer func(key string, value []byte) (Server, error)
}

// Config holds what an [Informer] needs.
type Config struct {
	Store  storer.Store
	Schema Schema
	Clock  clockwork.Clock
	Log    logrus.FieldLogger
	// IsReader reports whether this instance reads current values for the others.
	// One that does not reads values of the past now and then, in case it hears
	// of nothing. Nil means that it does.
	IsReader func() bool
	// StaleInterval is the pause between two such reads of the configuration.
	StaleInterval time.Duration
	// RetryPause returns the mean pause after a failed call to the store. Nil
	// means a constant one.
	RetryPause func() time.Duration
	// ListInterval returns the pause between two lists of the servers.
	ListInterval func() time.Duration
	// LinearizableEvery returns n if every n-th list is a current one; the others may
	// be old.
	LinearizableEvery func() int
	// RemoveAfter is how long a server may be missing before it counts as gone.
	RemoveAfter time.Duration
	// CheckInterval returns the pause until the configuration is read again
	// although its watch shows no change: a watch may miss one.
	CheckInterval func() time.Duration
	// OnChange is called when this instance has read something from the store that
	// the others should hear at once: a configuration that a watch missed, or a
	// server that begins to leave.
	OnChange func()
}
