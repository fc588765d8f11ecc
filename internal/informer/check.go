package informer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"marigoldhub.example/hub/internal/prover"
	"marigoldhub.example/hub/internal/storer"
)

// fullReadInterval is how long checks may ask only for changes. Watches have missed changes
// whose history was dropped, so the whole configuration is read now and then. It also limits
// how many versions the answer to such a question holds.
const fullReadInterval = 10 * time.Second

// check is what a check of the configuration found. It is zero before the first one.
type check struct {
	// version is the one in the store, next the revision from which on its history was not
	// looked at.
	version, next int64
	// fullRead is when the whole configuration was last read.
	fullRead time.Time
}

// checkForChange finds out by a linearizable call whether the store has a newer
// configuration, adopts it, and records the proof. A configuration of thousands of routes
// takes up to a megabyte, so that for a large one the store is asked only for what changed
// since the last check, if it can tell. Where keys may be withdrawn, all of it is read: a
// proof must not rest on the history of changes, which stores have been seen to leave out.
func (n *Informer) checkForChange(ctx context.Context, source string) (adopted bool, err error) {
	p, ok := n.cfg.Store.(storer.Poller)
	if c := n.Current().Configuration; !ok || c == nil || len(c.Raw) < n.cfg.LargeConfiguration || n.NeedsProof() {
		_, adopted, err = n.readConfiguration(ctx, source)
		return adopted, err
	}
	n.mu.Lock()
	last := n.checked
	n.mu.Unlock()
	began := n.cfg.Clock.Now()
	if began.Sub(last.fullRead) > fullReadInterval {
		return n.listConfiguration(ctx, source)
	}
	batch, err := p.Poll(ctx, n.cfg.Schema.ConfigurationPrefix, last.next)
	var compacted *storer.CompactedError
	switch {
	case errors.As(err, &compacted):
		return n.listConfiguration(ctx, source)
	case err != nil:
		return false, err
	}
	version := last.version
	for _, c := range batch.Changes {
		if c.Entry.Key == n.cfg.Schema.ConfigurationKey && !c.Deleted {
			var isNewer bool
			version, isNewer = n.offer(c.Entry.Value, source)
			adopted = adopted || isNewer
		}
	}
	n.recordCheck(check{version, batch.Revision + 1, last.fullRead}, prover.Read{Began: began, Epoch: storer.Epoch(batch.Revision), Version: version})
	return adopted, nil
}

// listConfiguration reads the configuration by a list, which has the store's revision.
func (n *Informer) listConfiguration(ctx context.Context, source string) (adopted bool, err error) {
	began := n.cfg.Clock.Now()
	entries, revision, err := n.cfg.Store.List(ctx, n.cfg.Schema.ConfigurationKey)
	if err != nil {
		return false, err
	}
	for _, e := range entries {
		if e.Key == n.cfg.Schema.ConfigurationKey {
			version, isNewer := n.offer(e.Value, source)
			n.recordCheck(check{version, revision + 1, began}, prover.Read{Began: began, Epoch: storer.Epoch(revision), Version: version})
			adopted = isNewer
		}
	}
	return adopted, nil
}

// recordCheck records a check and what it proves. A version of 0 is that of a configuration
// that cannot be read; it proves nothing.
func (n *Informer) recordCheck(c check, read prover.Read) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proofs.ObserveEpoch(read.Epoch, n.cfg.Clock.Now())
	n.checked = c
	if read.Version == 0 {
		return
	}
	n.proofs.Record(read)
	n.publishCurrent()
}
