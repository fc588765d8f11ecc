package informer_test

import (
	"sync/atomic"
	"testing"
	"time"

	"marigoldhub.example/hub/internal/informer"
	"marigoldhub.example/hub/internal/prover"
	"marigoldhub.example/hub/internal/storer/storertest"
)

// Guards against checks that read a large configuration again and again, and against a
// change that a check misses because the store dropped its history.
func TestChecksReadOnlyChanges(t *testing.T) {
	store := storertest.NewPolling()
	put := func(version int64) { store.Put("config/now", encode(t, informer.Configuration{Version: version})) }
	put(1)
	store.SetSilentWatch(true)
	f := start(t, func(c *informer.Config) {
		c.Store = store
		c.CheckInterval = func() time.Duration { return 5 * time.Millisecond }
	})
	var checks, reads int
	await := func(version int64) {
		t.Helper()
		eventually(t, "the version is in force", func() bool { return f.version() == version })
		checks = store.Calls("poll")
		eventually(t, "it is checked again", func() bool { return store.Calls("poll") > checks+5 })
	}
	await(1)
	reads = store.Calls("get")
	for _, step := range []struct {
		name    string
		do      func()
		version int64
	}{
		{"change", func() { put(2) }, 2},
		{"another key", func() { store.Put("config/other", []byte("{")) }, 2},
		{"a configuration that cannot be read", func() { store.Put("config/now", []byte("{")) }, 2},
		{"the next one", func() { put(3) }, 3},
		{"change in a history that is dropped", func() { put(4); store.Compact() }, 4},
		{"dropped history without a change", store.Compact, 4},
	} {
		step.do()
		await(step.version)
		if f.informer.Current().Proof.Version != step.version {
			t.Errorf("%s: the proof is for version %d, want %d", step.name, f.informer.Current().Proof.Version, step.version)
		}
	}
	if n := store.Calls("get") - reads; n > 0 {
		t.Errorf("the configuration was read %d times in full", n)
	}
}

// Guards against an instance that reads the whole configuration although others prove that it
// is current, and against one that does not read it when the proofs end.
func TestProofsSpareStaleReads(t *testing.T) {
	const interval = 100 * time.Millisecond
	f := start(t, func(c *informer.Config) {
		c.IsReader, c.StaleInterval = func() bool { return false }, interval
		c.ListInterval = func() time.Duration { return time.Hour }
	})
	f.store.Put("config/now", encode(t, informer.Configuration{Version: 1}))
	eventually(t, "the first configuration is in force", func() bool { return f.version() == 1 })
	f.informer.OfferProof(prover.Proof{Version: 1, At: time.Now()})
	f.store.Put("config/now", encode(t, informer.Configuration{Version: 2}))
	for end := time.Now().Add(10 * interval); time.Now().Before(end); time.Sleep(interval / 10) {
		f.informer.OfferProof(prover.Proof{Version: 1, At: time.Now()})
	}
	if f.version() != 1 {
		t.Fatal("the configuration was read beside fresh proofs")
	}
	eventually(t, "the configuration is read without proofs", func() bool { return f.version() == 2 })
}

// Guards against readers that decode the same configuration with each check, which takes some
// hundredths of a second for thousands of routes, and against proofs that stop therefore.
func TestUnchangedConfigurationIsDecodedOnce(t *testing.T) {
	var decodes atomic.Int64
	f := start(t, func(c *informer.Config) {
		c.CheckInterval = func() time.Duration { return 5 * time.Millisecond }
		decode := c.Schema.DecodeConfiguration
		c.Schema.DecodeConfiguration = func(raw []byte) (*informer.Configuration, error) {
			decodes.Add(1)
			return decode(raw)
		}
	})
	for version := int64(1); version <= 3; version++ {
		f.store.Put("config/now", encode(t, informer.Configuration{Version: version}))
		eventually(t, "the version is in force", func() bool { return f.version() == version })
		before := f.store.Calls("get")
		eventually(t, "it is checked", func() bool { return f.store.Calls("get") > before+10 })
		began := time.Now()
		eventually(t, "a later check proves it", func() bool { return f.informer.Current().Proof.At.After(began) })
	}
	// The watch and a check may decode one at the same time.
	if n := decodes.Load(); n > 6 {
		t.Errorf("three configurations were decoded %d times", n)
	}
}
