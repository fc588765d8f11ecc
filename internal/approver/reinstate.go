package approver

import (
	"context"
	"fmt"

	"marigoldhub.example/hub/internal/storer"
)

// Reinstate writes a verified envelope as the active one if the store has an earlier
// revision of the part, or none, and reports whether it did. A store that was restored
// from a copy has lost later revisions, and would give their numbers out again.
func Reinstate(ctx context.Context, store storer.Store, e Envelope) (bool, error) {
	current, _, err := store.Get(ctx, currentKey(e.Part))
	if err != nil {
		return false, err
	}
	if stored, err := Decode(current.Value); err == nil && stored.Revision >= e.Revision {
		return false, nil
	}
	counter, _, err := store.Get(ctx, counterKey(e.Part))
	if err != nil {
		return false, err
	}
	history, _, err := store.Get(ctx, historyKey(e.Part, e.Revision))
	if err != nil {
		return false, err
	}
	catalog, _, err := store.Get(ctx, CatalogKey)
	if err != nil {
		return false, err
	}
	encoded := e.Encode()
	tx := storer.Transaction{}.
		WithUnchanged(currentKey(e.Part), current.ModRevision).
		WithUnchanged(counterKey(e.Part), counter.ModRevision).
		WithUnchanged(historyKey(e.Part, e.Revision), history.ModRevision).
		WithUnchanged(CatalogKey, catalog.ModRevision).
		WithPut(currentKey(e.Part), encoded).
		WithPut(historyKey(e.Part, e.Revision), encoded).
		WithPut(CatalogKey, fmt.Appendf(nil, "%s %d", e.Part, e.Revision))
	if c, err := decodeRevisionCounter(counter.Value); err != nil || c.revision < e.Revision {
		tx = tx.WithPut(counterKey(e.Part), revisionCounter{revision: e.Revision}.encode())
	}
	result, err := store.Commit(ctx, tx)
	return result.Succeeded, err
}
