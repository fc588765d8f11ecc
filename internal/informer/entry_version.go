package informer

import "time"

// departedRetention is how long the version of a removed server's entry is kept. It is
// far longer than a copy from which a store is restored is old.
const departedRetention = 10 * time.Minute

// maxDeparted limits the versions of removed servers. Far fewer servers are replaced in
// departedRetention.
const maxDeparted = 4096

// entryVersion is the newest known entry of a server. A store that was restored from a
// copy lists entries again that its servers have replaced, or that had been removed.
type entryVersion struct {
	born, sequence int64
	// epoch is that of the list that showed the entry.
	epoch int64
	// outdatedSince is when a list of outdatedEpoch, a later one, first showed an entry that
	// is no newer; zero if none did.
	outdatedSince time.Time
	outdatedEpoch int64
	// removed is when the server was removed from the view; zero if it is in it.
	removed time.Time
}

func (v entryVersion) isNewer(srv Server) bool {
	return srv.Born > v.born || srv.Born == v.born && srv.Sequence > v.sequence
}

// isOutdated reports whether the entry, from a list of the epoch, may be one of before
// the store was restored that is no newer than the known one. It records the entry
// otherwise. An entry that is listed for longer than [Config.EntryTTL] in an epoch is
// renewed by its server and so valid.
func (n *Informer) isOutdated(srv Server, epoch int64, now time.Time) bool {
	v, known := n.versions[srv.ID]
	if known && epoch > v.epoch && !v.isNewer(srv) {
		if epoch > v.outdatedEpoch {
			v.outdatedSince, v.outdatedEpoch = now, epoch
			n.versions[srv.ID] = v
		}
		if now.Sub(v.outdatedSince) < n.cfg.EntryTTL {
			return true
		}
	}
	n.versions[srv.ID] = entryVersion{born: srv.Born, sequence: srv.Sequence, epoch: epoch}
	return false
}

// isPresent reports whether the server is in the view and was in the last list.
func (n *Informer) isPresent(id string) bool {
	srv, known := n.servers[id]
	return known && srv.MissingSince.IsZero()
}

// recordRemoved keeps the version of a removed server's entry for departedRetention,
// if not too many were removed since.
func (n *Informer) recordRemoved(id string, now time.Time) {
	v := n.versions[id]
	v.removed = now
	n.versions[id] = v
	oldest, departed := "", 0
	for id, v := range n.versions {
		switch {
		case v.removed.IsZero():
			continue
		case now.Sub(v.removed) > departedRetention:
			delete(n.versions, id)
			continue
		}
		departed++
		if oldest == "" || v.removed.Before(n.versions[oldest].removed) {
			oldest = id
		}
	}
	if departed > maxDeparted {
		delete(n.versions, oldest)
	}
}
