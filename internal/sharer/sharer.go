// Package sharer runs requests whose results any number of callers share.
package sharer

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// ErrDeadline means that a run did not end by the caller's deadline.
var ErrDeadline = errors.New("the shared request did not end in time")

// Sharer runs requests. A caller gets the result of a run that began at the time that it
// names or later. Runs of one key follow each other, those of different keys do not wait
// for each other.
type Sharer[K comparable, V any] struct {
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

// New returns a sharer without any runs.
func New[K comparable, V any](clock clockwork.Clock) *Sharer[K, V] {
	return &Sharer[K, V]{clock: clock, running: map[K]*round[V]{}, next: map[K]*round[V]{}}
}

// Await returns the result of a run that began at the time or later, or ErrDeadline.
func (s *Sharer[K, V]) Await(key K, after, deadline time.Time, run func() (V, error)) (V, error) {
	return s.Begin(key, after, run)(deadline)
}

// Begin makes sure that there is a run that begins at the time or later. The returned function
// waits for its result and returns it, or ErrDeadline. It need not be called.
func (s *Sharer[K, V]) Begin(key K, after time.Time, run func() (V, error)) func(deadline time.Time) (V, error) {
	w := s.after(key, after, run)
	return func(deadline time.Time) (V, error) { return s.await(w, deadline) }
}

func (s *Sharer[K, V]) await(w *round[V], deadline time.Time) (V, error) {
	timer := s.clock.NewTimer(deadline.Sub(s.clock.Now()))
	defer timer.Stop()
	select {
	case <-w.done:
		return w.value, w.err
	case <-timer.Chan():
		var none V
		return none, ErrDeadline
	}
}

// after returns the run in progress if it began after the time, or the next one.
func (s *Sharer[K, V]) after(key K, after time.Time, run func() (V, error)) *round[V] {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.running[key]
	switch {
	case w == nil:
		w = &round[V]{run: run, done: make(chan struct{})}
		s.start(key, w)
		return w
	case !w.began.Before(after):
		return w
	case s.next[key] == nil:
		s.next[key] = &round[V]{run: run, done: make(chan struct{})}
	}
	return s.next[key]
}

// start runs a round in the background, and then the one that waits for it. The
// caller holds mu.
func (s *Sharer[K, V]) start(key K, w *round[V]) {
	w.began = s.clock.Now()
	s.running[key] = w
	go func() {
		w.value, w.err = w.run()
		close(w.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		next := s.next[key]
		delete(s.running, key)
		delete(s.next, key)
		if next != nil {
			s.start(key, next)
		}
	}()
}
