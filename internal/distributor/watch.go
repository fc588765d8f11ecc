package distributor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/checker"
	"marigoldhub.example/hub/internal/storer"
)

// watchLoop watches the store while this instance is the zone watcher.
func (d *Distributor) watchLoop() {
	pause := minWatchPause
	for d.ctx.Err() == nil {
		membersChanged := d.cfg.Directory.Changed()
		if !d.isWatcher() {
			select {
			case <-membersChanged:
			case <-d.ctx.Done():
			}
			continue
		}
		started := d.cfg.Clock.Now()
		err := d.watchOnce()
		if err == nil || d.ctx.Err() != nil {
			continue
		}
		d.cfg.Log.WithError(err).Warn("distributor: watch of the store ended")
		if d.cfg.Clock.Since(started) > maxWatchPause {
			pause = minWatchPause
		}
		d.sleep(pause)
		pause = min(2*pause, maxWatchPause)
	}
}

// isWatcher reports whether this instance is to watch the store.
func (d *Distributor) isWatcher() bool {
	if d.cfg.Mode == EveryInstanceWatches {
		return true
	}
	self := d.self()
	holder, ok := d.cfg.Directory.HolderInZone(watchRole, self.Zone)
	return ok && holder.Instance == self.Instance
}

// errMissedChange means that the store holds a change that the watch did not
// report in time.
var errMissedChange = errors.New("watch missed a change")

// watchOnce reads the whole manifest and then follows its changes. It returns
// nil if the watcher role moved to another instance or the distributor closed.
func (d *Distributor) watchOnce() error {
	seen, err := d.readStore(d.ctx)
	if err != nil {
		return err
	}
	w, err := d.cfg.Store.Watch(d.ctx, approver.CurrentPrefix, seen+1)
	if err != nil {
		return err
	}
	defer w.Close()
	poll := d.cfg.Clock.NewTicker(d.cfg.PollInterval)
	defer poll.Stop()
	for d.isWatcher() {
		membersChanged := d.cfg.Directory.Changed()
		select {
		case <-d.ctx.Done():
			return nil
		case <-membersChanged:
		case b, ok := <-w.Batches():
			if !ok {
				return w.Err()
			}
			d.markContact()
			seen = max(seen, b.Revision)
			if err := d.applyBatch(b); err != nil {
				return err
			}
		case <-poll.Chan():
			if err := d.checkMissed(w, &seen); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkMissed compares the store's newest change with the newest one that the
// watch reported. A change that is under way has one poll interval to arrive.
func (d *Distributor) checkMissed(w *storer.Watch, seen *int64) error {
	entry, _, err := d.getCatalog()
	if err != nil {
		return err
	}
	d.markContact()
	if entry.ModRevision <= *seen {
		return nil
	}
	select {
	case b, ok := <-w.Batches():
		if !ok {
			return w.Err()
		}
		*seen = max(*seen, b.Revision)
		return d.applyBatch(b)
	case <-d.cfg.Clock.After(d.cfg.PollInterval):
		return fmt.Errorf("%w of revision %d", errMissedChange, entry.ModRevision)
	case <-d.ctx.Done():
		return nil
	}
}

func (d *Distributor) getCatalog() (storer.Entry, bool, error) {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	return d.cfg.Store.Get(ctx, approver.CatalogKey)
}

// applyBatch applies changes. Deletions are ignored: a part never reverts.
func (d *Distributor) applyBatch(b storer.Batch) error {
	var envelopes []encodedEnvelope
	now := d.cfg.Clock.Now()
	owners := false
	for _, c := range b.Changes {
		if c.Deleted {
			continue
		}
		envelopes = append(envelopes, encodedEnvelope{c.Entry.Value, now})
		owners = owners || c.Entry.Key == approver.CurrentPrefix+checker.OwnersPart
	}
	if len(envelopes) == 0 {
		return nil
	}
	return d.applyFromStore(d.ctx, envelopes, owners)
}

// applyFromStore applies envelopes, together with the owners chain where it is
// needed, and pushes what is new.
func (d *Distributor) applyFromStore(ctx context.Context, envelopes []encodedEnvelope, withOwners bool) error {
	if withOwners {
		chain, err := d.listEnvelopes(ctx, approver.OwnersHistoryPrefix)
		if err != nil {
			return err
		}
		envelopes = append(chain, envelopes...)
	}
	synced := d.isSynced()
	out := d.accept(envelopes, fromStore)
	if synced {
		// What an instance reads in its initial sync is not new to the others.
		d.push(out.verified)
	}
	if out.needsOwners && !withOwners {
		return d.applyFromStore(ctx, envelopes, true)
	}
	return nil
}

// readStore applies everything that the store holds and returns the store's
// revision. A watcher writes back what the store has lost.
func (d *Distributor) readStore(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, revision, err := d.cfg.Store.List(ctx, approver.CurrentPrefix)
	if err != nil {
		return 0, err
	}
	d.markContact()
	if err := d.applyFromStore(ctx, d.envelopesOf(entries), true); err != nil {
		return 0, err
	}
	if d.hasConfiguration() {
		d.markSynced()
	}
	if d.isWatcher() {
		d.reinstateLost(ctx, entries)
	}
	return revision, nil
}

func (d *Distributor) listEnvelopes(ctx context.Context, prefix string) ([]encodedEnvelope, error) {
	entries, _, err := d.cfg.Store.List(ctx, prefix)
	return d.envelopesOf(entries), err
}

func (d *Distributor) envelopesOf(entries []storer.Entry) []encodedEnvelope {
	now := d.cfg.Clock.Now()
	var envelopes []encodedEnvelope
	for _, e := range entries {
		envelopes = append(envelopes, encodedEnvelope{e.Value, now})
	}
	return envelopes
}

// hasConfiguration reports whether a customer's part is active.
func (d *Distributor) hasConfiguration() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.hasActivePart()
}

// initialSyncLoop reads the store directly until the initial sync is complete,
// whether or not this instance is the zone watcher.
func (d *Distributor) initialSyncLoop() {
	pause := initialSyncInterval
	for !d.isSynced() {
		if _, err := d.readStore(d.ctx); err != nil && d.ctx.Err() == nil {
			d.cfg.Log.WithError(err).Info("distributor: store is not readable at start")
		}
		if d.isSynced() || !d.sleep(pause) {
			return
		}
		pause = min(2*pause, maxInitialSyncPause)
	}
}

const maxInitialSyncPause = time.Second
