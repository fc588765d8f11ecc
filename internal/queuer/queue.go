// Package queuer provides a priority queue for requests that wait for a resource.
// Waiting values may be removed from the middle, when a request gives up. Values
// of equal order leave in the order of their arrival. A Queue does no locking.
package queuer

import "container/heap"

// Queue is a priority queue. Values that compare equal leave in the order of their
// arrival. The zero Queue is not usable.
type Queue[T any] struct {
	entries entries[T]
	seq     uint64
}

// New returns an empty queue that is ordered by less: the smallest value
// leaves first.
func New[T any](less func(a, b T) bool) *Queue[T] {
	return &Queue[T]{entries: entries[T]{less: less}}
}

// Entry is a value in a queue; Remove takes it to remove the value.
type Entry[T any] struct {
	Value T
	seq   uint64
	// index is the position in the heap, -1 when the entry has left the queue.
	index int
}

// Len returns the number of values in the queue.
func (q *Queue[T]) Len() int { return len(q.entries.list) }

// Push adds a value and returns its entry.
func (q *Queue[T]) Push(v T) *Entry[T] {
	q.seq++
	e := &Entry[T]{Value: v, seq: q.seq}
	heap.Push(&q.entries, e)
	return e
}

// Pop removes and returns the first value; it returns false if the queue is empty.
func (q *Queue[T]) Pop() (v T, ok bool) {
	if q.Len() == 0 {
		return v, false
	}
	return heap.Pop(&q.entries).(*Entry[T]).Value, true
}

// Remove removes an entry and reports whether it was still in the queue.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.index < 0 {
		return false
	}
	heap.Remove(&q.entries, e.index)
	return true
}

// Last returns the entry that would leave last; nil if the queue is empty.
func (q *Queue[T]) Last() *Entry[T] {
	var last *Entry[T]
	for i, e := range q.entries.list {
		if last == nil || q.entries.Less(last.index, i) {
			last = e
		}
	}
	return last
}

// CountBefore returns how many values in the queue would leave before a new value v.
func (q *Queue[T]) CountBefore(v T) int {
	n := 0
	for _, e := range q.entries.list {
		if !q.entries.less(v, e.Value) {
			n++
		}
	}
	return n
}

// entries implements [heap.Interface].
type entries[T any] struct {
	list []*Entry[T]
	less func(a, b T) bool
}

func (h *entries[T]) Len() int { return len(h.list) }

func (h *entries[T]) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	switch {
	case h.less(a.Value, b.Value):
		return true
	case h.less(b.Value, a.Value):
		return false
	}
	return a.seq < b.seq
}

func (h *entries[T]) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index, h.list[j].index = i, j
}

func (h *entries[T]) Push(x any) {
	e := x.(*Entry[T])
	e.index = len(h.list)
	h.list = append(h.list, e)
}

func (h *entries[T]) Pop() any {
	last := len(h.list) - 1
	e := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	e.index = -1
	return e
}
