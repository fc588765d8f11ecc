package attester

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// rounds runs requests whose results any number of callers share. A caller gets the
// result of a run that began at the time that it names or later. Runs of one key
// follow each other, those of different keys do not wait for each other.
type rounds[K comparable, V any] struct {
	clock clockwork.Clock

	mu sync.Mutex
	// running has the run in progress of each key, and next the one after it if a
	// caller waits for that.
	running, next map[K]*round[V]
}

// round is one run.
type round[V any] struct {
	run   func() (V, error)
	began time.Time
	done  chan struct{}
	value V
	err   error
}

func newRounds[K comparable, V any](clock clockwork.Clock) *rounds[K, V] {
	return &rounds[K, V]{clock: clock, running: map[K]*round[V]{}, next: map[K]*round[V]{}}
}

// await returns the result of a run that began after the time, or ErrNotConfirmed at
// the deadline.
func (r *rounds[K, V]) await(key K, after, deadline time.Time, run func() (V, error)) (V, error) {
	w := r.after(key, after, run)
	timer := r.clock.NewTimer(deadline.Sub(r.clock.Now()))
	defer timer.Stop()
	select {
	case <-w.done:
		return w.value, w.err
	case <-timer.Chan():
		var none V
		return none, ErrNotConfirmed
	}
}

// after returns the run in progress if it began after the time, or the next one.
func (r *rounds[K, V]) after(key K, after time.Time, run func() (V, error)) *round[V] {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.running[key]
	switch {
	case w == nil:
		w = &round[V]{run: run, done: make(chan struct{})}
		r.start(key, w)
		return w
	case !w.began.Before(after):
		return w
	case r.next[key] == nil:
		r.next[key] = &round[V]{run: run, done: make(chan struct{})}
	}
	return r.next[key]
}

// start runs a round in the background, and then the one that waits for it. The
// caller holds mu.
func (r *rounds[K, V]) start(key K, w *round[V]) {
	w.began = r.clock.Now()
	r.running[key] = w
	go func() {
		w.value, w.err = w.run()
		close(w.done)
		r.mu.Lock()
		defer r.mu.Unlock()
		next := r.next[key]
		delete(r.running, key)
		delete(r.next, key)
		if next != nil {
			r.start(key, next)
		}
	}()
}
