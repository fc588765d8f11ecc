package informer

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/storer"
)

// Schema gives the keys of the store's records and decodes their values.
type Schema struct {
	// ConfigurationKey holds the newest configuration; ConfigurationPrefix is the
	// prefix that is watched for it.
	ConfigurationKey, ConfigurationPrefix string
	// ServerPrefix is the prefix of the servers' entries.
	ServerPrefix string
	// DecodeConfiguration decodes a configuration; its error names what is invalid.
	DecodeConfiguration func([]byte) (*Configuration, error)
	// DecodeServer decodes a server's entry. It returns an error for an entry that
	// does not describe a usable server.
	DecodeServer func(key string, value []byte) (Server, error)
}

// Config holds what an [Informer] needs.
type Config struct {
	Store  storer.Store
	Schema Schema
	Clock  clockwork.Clock
	Log    logrus.FieldLogger
	// IsReader reports whether this instance watches the store on behalf of the
	// fleet. An instance that is no reader learns of changes from other instances,
	// and polls by stale reads in case it learns of none. Nil means true.
	IsReader func() bool
	// StaleInterval is the mean pause between two stale reads of the configuration
	// by an instance that is no reader.
	StaleInterval time.Duration
	// RetryPause returns the mean pause after a failed call to the store. Nil means
	// a constant one.
	RetryPause func() time.Duration
	// ListInterval returns the mean pause between two lists of the servers.
	ListInterval func() time.Duration
	// LinearizableEvery returns n if every n-th list of a reader is a linearizable
	// read; the others are stale reads.
	LinearizableEvery func() int
	// RemoveAfter is how long a server may be missing from the lists before it is
	// removed from the view.
	RemoveAfter time.Duration
	// EntryTTL is how long an entry may be listed that its server does not renew.
	EntryTTL time.Duration
	// CheckInterval returns the mean pause between two reads of the configuration by
	// a reader whose watch shows no change: a watch may miss one.
	CheckInterval func() time.Duration
	// LargeConfiguration is the size in bytes from which on checks ask the store for changes
	// instead of the whole configuration.
	LargeConfiguration int
	// RootCheckInterval returns the mean pause between two such reads by the root of the
	// proofs, whose proofs spare the instances that are no readers their own reads; 0 or
	// nil if all instances are readers.
	RootCheckInterval func() time.Duration
	// MaxProofAge is how old a proof that the configuration is current may be; see package
	// prover. 0 means that no proofs are needed.
	MaxProofAge time.Duration
	// IsProofRoot reports whether this instance reads the configuration at a fixed interval
	// to prove to the fleet that it is current. Nil means false.
	IsProofRoot func() bool
	// ProofRetryPause returns the mean pause between two reads by an instance that lacks a
	// proof and is not the root.
	ProofRetryPause func() time.Duration
	// AskPeers requests the proofs of other instances. Nil means that there are none.
	AskPeers func()
	// OnChange is called when this instance has read something from the store that
	// the other instances should learn at once: a new configuration, or a server that
	// has begun to drain.
	OnChange func()
	// OnStaleChange is called when a stale read by an instance that is no reader shows such a
	// change. The instances that this one passes changes on to may lack it: this one passes on
	// only what it adopts, and will not adopt the same change again when a reader's message
	// arrives. Nil does nothing.
	OnStaleChange func()
}
