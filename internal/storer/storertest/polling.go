package storertest

import (
	"context"
	"strings"

	"marigoldhub.example/hub/internal/storer"
)

// Polling is a [Memory] that implements [storer.Poller] as well.
type Polling struct {
	*Memory
	// oldest is the first revision of the history; earlier changes are dropped. Memory.mu
	// protects it.
	oldest int64
}

// NewPolling returns an empty store.
func NewPolling() *Polling { return &Polling{Memory: New()} }

// Compact drops the history.
func (p *Polling) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oldest = p.revision + 1
}

// Poll implements [storer.Poller].
func (p *Polling) Poll(_ context.Context, prefix string, from int64) (storer.Batch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall("poll"); err != nil {
		return storer.Batch{}, err
	}
	if from < p.oldest || from-1 > p.revision {
		return storer.Batch{}, &storer.CompactedError{Revision: from}
	}
	b := storer.Batch{Revision: p.revision}
	for _, c := range p.history {
		if c.Entry.ModRevision >= from && strings.HasPrefix(c.Entry.Key, prefix) {
			b.Changes = append(b.Changes, c)
		}
	}
	return b, nil
}
