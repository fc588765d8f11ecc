package storer

import "context"

// Change is one change of a key. Entry.Value is empty for a deletion.
type Change struct {
	Entry   Entry
	Deleted bool
}

// Batch is a set of changes up to a revision of the store. It has no changes if
// the store only reports progress.
type Batch struct {
	Revision int64
	Changes  []Change
}

// Watch is a running watch. Its user reads Batches until the channel is closed, or
// ends the watch with Close or the context.
type Watch struct {
	batches chan Batch
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

// NewWatch returns a watch with the batches that run sends, for implementations of
// Store. run has its own goroutine; the watch ends when it returns.
func NewWatch(ctx context.Context, run func(ctx context.Context, send func(Batch) error) error) *Watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watch{batches: make(chan Batch), cancel: cancel, done: make(chan struct{})}
	send := func(b Batch) error {
		select {
		case w.batches <- b:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	go func() {
		defer cancel()
		w.err = run(ctx, send)
		close(w.done)
		close(w.batches)
	}()
	return w
}

// Batches returns the channel of changes, in order. It is closed when the watch ends.
func (w *Watch) Batches() <-chan Batch { return w.batches }

// Done returns a channel that is closed when the watch has ended.
func (w *Watch) Done() <-chan struct{} { return w.done }

// Err returns why the watch ended. It may be called only after Done is closed.
func (w *Watch) Err() error { return w.err }

// Close ends the watch and waits for its goroutine.
func (w *Watch) Close() {
	w.cancel()
	<-w.done
}
