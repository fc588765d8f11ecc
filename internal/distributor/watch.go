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

// watchLoop watches the store while this instance holds the duty.
func (d *Distributor) watchLoop() {
	pause := minWatchPause
	for d.ctx.Err() == nil {
		moved := d.cfg.Directory.Changed()
		if !d.holdsWatch() {
			select {
			case <-moved:
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

func (d *Distributor) holdsWatch() bool {
	if d.cfg.Mode == EveryInstanceWatches {
		return true
	}
	self := d.self()
	holder, ok := d.cfg.Directory.HolderInZone(watchDuty, self.Zone)
	return ok && holder.Instance == self.Instance
}

// errMissedChange means that the store holds a change that the watch did not
// report.
var errMissedChange = errors.New("watch missed a change")

// watchOnce reads everything and then follows the changes. It returns nil when
// the duty moved to another instance.
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
	for d.holdsWatch() {
		moved := d.cfg.Directory.Changed()
		select {
		case <-d.ctx.Done():
			return nil
		case <-moved:
		case b, ok := <-w.Batches():
			if !ok {
				return w.Err()
			}
			d.markHeard()
			seen = max(seen, b.Revision)
			if err := d.takeBatch(b); err != nil {
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

// checkMissed compares the store's newest change with what the watch reported.
// It gives a change that is on its way one poll interval to arrive.
func (d *Distributor) checkMissed(w *storer.Watch, seen *int64) error {
	entry, _, err := d.getCatalog()
	if err != nil {
		return err
	}
	d.markHeard()
	if entry.ModRevision <= *seen {
		return nil
	}
	select {
	case b, ok := <-w.Batches():
		if !ok {
			return w.Err()
		}
		*seen = max(*seen, b.Revision)
		return d.takeBatch(b)
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

// takeBatch takes in changes. Deletions are ignored: a part never reverts.
func (d *Distributor) takeBatch(b storer.Batch) error {
	var offers []offer
	now := d.cfg.Clock.Now()
	owners := false
	for _, c := range b.Changes {
		if c.Deleted {
			continue
		}
		offers = append(offers, offer{c.Entry.Value, now})
		owners = owners || c.Entry.Key == approver.CurrentPrefix+checker.OwnersPart
	}
	if len(offers) == 0 {
		return nil
	}
	return d.takeFromStore(d.ctx, offers, owners)
}

// takeFromStore takes in envelopes, together with the owners chain where it is
// needed, and pushes what is new.
func (d *Distributor) takeFromStore(ctx context.Context, offers []offer, withOwners bool) error {
	if withOwners {
		chain, err := d.listOffers(ctx, approver.OwnersHistoryPrefix)
		if err != nil {
			return err
		}
		offers = append(chain, offers...)
	}
	synced := d.isSynced()
	out := d.accept(offers, fromStore)
	if synced {
		// What a fresh instance reads is not new to the others.
		d.push(out.proven)
	}
	if out.needsOwners && !withOwners {
		return d.takeFromStore(ctx, offers, true)
	}
	return nil
}

// readStore takes in everything that the store holds and returns the store's
// revision.
func (d *Distributor) readStore(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, revision, err := d.cfg.Store.List(ctx, approver.CurrentPrefix)
	if err != nil {
		return 0, err
	}
	d.markHeard()
	if err := d.takeFromStore(ctx, d.offersOf(entries), true); err != nil {
		return 0, err
	}
	if d.hasConfiguration() {
		d.markSynced()
	}
	return revision, nil
}

func (d *Distributor) listOffers(ctx context.Context, prefix string) ([]offer, error) {
	entries, _, err := d.cfg.Store.List(ctx, prefix)
	return d.offersOf(entries), err
}

func (d *Distributor) offersOf(entries []storer.Entry) []offer {
	now := d.cfg.Clock.Now()
	var offers []offer
	for _, e := range entries {
		offers = append(offers, offer{e.Value, now})
	}
	return offers
}

func (d *Distributor) hasConfiguration() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set.hasPartInForce()
}

// freshLoop reads the store directly until the first synchronisation, whoever
// holds the watch duty.
func (d *Distributor) freshLoop() {
	pause := freshInterval
	for !d.isSynced() {
		if _, err := d.readStore(d.ctx); err != nil && d.ctx.Err() == nil {
			d.cfg.Log.WithError(err).Info("distributor: store is not readable at start")
		}
		if d.isSynced() || !d.sleep(pause) {
			return
		}
		pause = min(2*pause, maxFreshPause)
	}
}

const maxFreshPause = time.Second
