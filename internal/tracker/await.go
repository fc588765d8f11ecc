package tracker

import (
	"context"
	"time"
)

// NewWaiter starts a wait for the confirmation of p. If fresh is set, only
// statuses that were requested at or after since count. The zero position asks
// for the confirmation of the read index and is always fresh. The caller must
// call Stop.
func (t *Tracker) NewWaiter(p Position, fresh bool, since time.Time) *Waiter {
	w := &Waiter{
		tracker:   t,
		position:  p,
		readIndex: p.IsZero(),
		fresh:     fresh || p.IsZero(),
		since:     since,
		done:      make(chan struct{}),
	}
	t.addWaiter(w)
	return w
}

func (t *Tracker) addWaiter(w *Waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tryAnswer(w) {
		return
	}
	t.waiters[w] = struct{}{}
	close(t.waitAdded)
	t.waitAdded = make(chan struct{})
}

// Await waits until p is confirmed or superseded, with the arguments of
// NewWaiter. It returns an error if ctx ended or the tracker was closed first.
func (t *Tracker) Await(ctx context.Context, p Position, fresh bool, since time.Time) (Proof, error) {
	return t.NewWaiter(p, fresh, since).wait(ctx)
}

// AwaitServer waits until the named server stores p in p's own term, or p is
// superseded. The proof says nothing about other servers.
func (t *Tracker) AwaitServer(ctx context.Context, server string, p Position) (Proof, error) {
	w := &Waiter{tracker: t, position: p, server: server, done: make(chan struct{})}
	t.addWaiter(w)
	return w.wait(ctx)
}

func (w *Waiter) wait(ctx context.Context) (Proof, error) {
	defer w.Stop()
	select {
	case <-w.Done():
		return w.Proof(), nil
	case <-w.tracker.closed:
		return Proof{}, ErrClosed
	case <-ctx.Done():
		return Proof{}, ctx.Err()
	}
}

// Close ends all waits with [ErrClosed]. It must be called once, when no more
// observations will follow.
func (t *Tracker) Close() { close(t.closed) }

// Closed returns a channel that is closed by Close.
func (t *Tracker) Closed() <-chan struct{} { return t.closed }

// WaitAdded returns a channel that is closed when the next wait starts.
func (t *Tracker) WaitAdded() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waitAdded
}

// Needs returns why open waits need a newer status of the server, if they do.
func (t *Tracker) Needs(server string) Need {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.index(server)
	if i < 0 {
		return NeedNothing
	}
	need := NeedNothing
	for w := range t.waiters {
		need = max(need, w.needs(t.servers[i]))
	}
	return need
}

func (t *Tracker) answerWaiters() {
	for w := range t.waiters {
		if t.tryAnswer(w) {
			delete(t.waiters, w)
		}
	}
}

// tryAnswer completes the waiter if its proof exists, and reports whether it did.
func (t *Tracker) tryAnswer(w *Waiter) bool {
	if w.readIndex {
		t.setReadIndex(w)
	}
	if w.position.IsZero() {
		return false
	}
	switch {
	case w.position.Term < t.term && !w.readIndex:
		w.proof = Proof{Superseded: true, Position: t.confirmed, Lineage: t.lineage}
	case t.isConfirmed(w):
		w.proof = Proof{Position: w.position, Lineage: t.lineage}
	default:
		return false
	}
	close(w.done)
	return true
}

// setReadIndex sets the position of a waiter for the read index: the log end of
// the server that leads the highest term, from the first fresh status that shows
// it. The position stays the same while that server leads, so that the wait ends
// although the primary keeps writing.
func (t *Tracker) setReadIndex(w *Waiter) {
	for _, o := range t.servers {
		if o.SentAt.Before(w.since) || o.Status.Role != RolePrimary || !o.stores(Position{Term: o.Status.Term}) {
			continue
		}
		if o.Status.Term > w.position.Term {
			w.position = o.Status.Log
		}
	}
}

// isConfirmed reports whether enough servers support the waiter's position.
func (t *Tracker) isConfirmed(w *Waiter) bool {
	if !w.fresh && w.server == "" && w.position.Term == t.term && w.position.Offset <= t.confirmed.Offset {
		return true
	}
	n := 0
	for _, o := range t.servers {
		if w.supports(o) {
			n++
		}
	}
	return n >= w.quorum()
}
