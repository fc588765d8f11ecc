package informer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldhub.example/hub/internal/storer"
)

// List is the servers' entries in the store at a revision.
type List struct {
	Revision int64
	Entries  []storer.Entry
	// ReadAt is a time on this instance's clock: the list has every write that the store had
	// acknowledged by then. It is zero if none is known.
	ReadAt time.Time
	// Adopted is when this instance adopted the list.
	Adopted time.Time
	// Digest is equal for lists with equal entries.
	Digest uint64
}

func newList(entries []storer.Entry, revision int64, readAt, now time.Time) List {
	h := xxhash.New()
	for _, e := range entries {
		h.WriteString(e.Key)
		h.Write([]byte{0})
		h.Write(e.Value)
		h.Write([]byte{0})
	}
	return List{Revision: revision, Entries: entries, Digest: h.Sum64(), ReadAt: readAt, Adopted: now}
}

// ObserveRead records that a list of the revision has every write that the store had
// acknowledged at the time. So has any list of a later revision in the same epoch.
func (n *Informer) ObserveRead(revision int64, readAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listed && revision <= n.list.Revision && storer.Epoch(revision) == storer.Epoch(n.list.Revision) {
		n.observeRead(readAt)
	}
}

// observeRead records until when the present list has all writes. While the list is not
// complete, the store may have been restored from a copy without writes that it had
// acknowledged. The caller holds mu.
func (n *Informer) observeRead(readAt time.Time) {
	if n.complete && readAt.After(n.list.ReadAt) {
		n.list.ReadAt = readAt
	}
}
